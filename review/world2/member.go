//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// controllers returns the addresses of the site's controllers.
func (s *fileSite) controllers() (all []string) {
	b, err := os.ReadFile(filepath.Join(s.dir, "ports.json"))
	must(err)
	var ports struct{ Controllers []int }
	must(json.Unmarshal(b, &ports))
	for _, p := range ports.Controllers {
		all = append(all, fmt.Sprintf("127.0.0.1:%d", p))
	}
	return all
}

var quick = &http.Client{Timeout: 2 * time.Second}

func getJSON(url string, v any) int {
	res, err := quick.Get(url)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	b, _ := io.ReadAll(res.Body)
	json.Unmarshal(b, v)
	return res.StatusCode
}

// state returns a job's state, as the first controller that answers tells it.
func (s *fileSite) state(ref string) (status string, done int) {
	for _, c := range s.controllers() {
		var v struct {
			Status string
			Done   int
		}
		if getJSON("http://"+c+"/v2/runs/"+ref, &v) == 200 {
			return v.Status, v.Done
		}
	}
	return "", 0
}

// doneHere reports whether a machine's worker lists an attempt as done.
func (s *fileSite) doneHere(machine, load string) bool {
	b, err := os.ReadFile(filepath.Join(s.dir, "cloud/machines", machine, "address"))
	if err != nil {
		return false
	}
	var v struct {
		Loads []struct{ Load, Status, Cause string }
	}
	getJSON("http://"+string(b)+"/status", &v)
	for _, l := range v.Loads {
		if l.Load == load {
			return l.Cause == "done"
		}
	}
	return true // forgotten, so its end is committed
}

// gangTasks is the number of tasks of a gang in playMember.
const gangTasks = 4

// playMember: a machine hangs when its task of a gang is done and the gang's other task, elsewhere, is about to be.
func (s *fileSite) playMember(trouble bool) (held bool) {
	const hang = 40 * time.Second
	for i := range 24 {
		ref := fmt.Sprintf("wk-%06d", 100+i)
		path := s.job(ref, "ensemble", "urgent", 0.5, 0.1, nil,
			// The last task ends somewhat later than the others, each time by another part of a second.
			fmt.Sprintf("if [ $SILVERGATE_TASK = %d ]; then sleep 1.%d; else sleep 1; fi; echo done", gangTasks-1, 1+i*7%9))
		b, err := os.ReadFile(path)
		must(err)
		must(os.WriteFile(path, []byte(strings.Replace(string(b), `"loads":1`, `"loads":4`, 1)), 0o600))
		if out, err := s.run("submit", path); err != nil {
			panic(cannotRun(out))
		}
		// The first three tasks go to one machine, the last one to the other.
		var machines [gangTasks]string
		var pids []int
		for end := time.Now().Add(15 * time.Second); machines[0] == "" || machines[gangTasks-1] == ""; time.Sleep(50 * time.Millisecond) {
			for t := range machines {
				machines[t], _ = s.machineOf(fmt.Sprintf("%s.%d.1", ref, t))
			}
			if time.Now().After(end) {
				panic(cannotRun("the gang does not start"))
			}
		}
		last := gangTasks - 1
		s.log("%s: its tasks are on %v", ref, machines)
		done := 0
		for end := time.Now().Add(15 * time.Second); done == 0 && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			_, done = s.state(ref)
		}
		if trouble && done == 1 && machines[last] != machines[0] && s.doneHere(machines[last], fmt.Sprint(ref, "/", last)) {
			_, pids = s.machineOf(fmt.Sprintf("%s.%d.1", ref, last))
			for _, p := range pids {
				syscall.Kill(p, syscall.SIGSTOP)
			}
			s.log("%s: task %d is done by the records, the others are not; its machine %s hangs", ref, last, machines[last])
			began := time.Now()
			for _, p := range pids {
				defer syscall.Kill(p, syscall.SIGCONT)
			}
			time.Sleep(3 * time.Second / 2)
			if _, done := s.state(ref); done != 1 {
				s.log("%s: other tasks had heard of its end before; the machine goes on, and the next gang follows", ref)
				for _, p := range pids {
					syscall.Kill(p, syscall.SIGCONT)
				}
				time.Sleep(4 * time.Second)
				continue
			}
			for time.Since(began) < hang {
				status, done := s.state(ref)
				s.log("user: poll of %s got %s, %d done", ref, status, done)
				time.Sleep(4 * time.Second)
			}
			for _, p := range pids {
				syscall.Kill(p, syscall.SIGCONT)
			}
			s.log("the machine goes on, if it is still there")
			for range 5 {
				status, done := s.state(ref)
				s.log("user: poll of %s got %s, %d done", ref, status, done)
				if status == "done" {
					return true
				}
				time.Sleep(4 * time.Second)
			}
			s.run("why", ref)
			return false
		}
		ok := false
		for end := time.Now().Add(10 * time.Second); !ok && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			status, _ := s.state(ref)
			ok = status == "done"
		}
		s.log("%s: done %v", ref, ok)
		if !ok {
			s.run("why", ref)
			return false
		}
		if !trouble && i == 4 {
			return true
		}
		if time.Since(s.start) > 36*time.Second {
			break
		}
	}
	if trouble {
		panic(cannotRun("no gang had one task done before the other"))
	}
	return true
}
