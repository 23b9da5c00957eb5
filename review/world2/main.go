//go:build review

package main

import (
	"fmt"
	"os"
	"time"
)

// scenario is a case. It returns whether the rule held.
type scenario func(w *World, trouble bool) bool

var scenarios = map[string]scenario{"burst": burst, "history": history, "reports": reports}

// longest is how long a case may take.
const longest = 115 * time.Second

func main() {
	trouble := os.Getenv("TROUBLE") != "0"
	if len(os.Args) == 3 && (os.Args[1] == "files" || os.Args[1] == "member") {
		os.Exit(playSite(os.Args[2], trouble, os.Args[1] == "member"))
	}
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: world CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(scenarios[os.Args[1]], os.Args[2], trouble))
}

// cannotRun is why a case can't run; it has no verdict then.
type cannotRun string

// play runs a case and returns the exit code: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
func play(run scenario, record string, trouble bool) (code int) {
	types, capacity := carburaTypes()
	w := newWorld(record, carbura(), types, capacity)
	time.AfterFunc(longest, func() {
		w.Log("the case took too long")
		w.Close()
		os.Exit(2)
	})
	defer w.Close()
	defer func() {
		if r := recover(); r != nil {
			w.Log("the case could not run: %v", r)
			fmt.Println("could not run:", r)
			code = 2
		}
	}()
	w.Log("trouble: %v", trouble)
	for _, n := range w.nodes {
		w.StartNode(n)
	}
	w.KeepWithinMemory(restartS)
	if !w.AwaitUp(len(w.nodes), 20*time.Second) {
		panic(cannotRun("the controllers do not come up"))
	}
	held := run(w, trouble)
	w.Log("memory: %s", w.Memory())
	w.Log("largest report %d bytes; reports not answered with 200, by status: %v; answers of the state service by status: %v", w.largestReport, w.refusals, w.state.Count)
	if held {
		w.Log("the rule held")
		fmt.Println("the rule held")
		return 0
	}
	w.Log("the rule was broken")
	fmt.Println("the rule was broken")
	return 1
}

// restartS is after how many seconds the platform starts a controller again (BRIEF: "back about 3 s after an end").
const restartS = 3
