//go:build review

// Case 2: after a machine's agent was killed, a job reads rows of a data set that another
// job had written into its own copy when it was killed halfway.
//
// The state service, the cloud, the file server, the agent and three controllers are the
// project's own; the user is a stand-in.
package main

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"

	"silvergate/review/kit"
)

const (
	rows = 400
	row  = "truck %04d slot %04d customer %04d ok....\n"
)

func main() {
	c := kit.New(110 * time.Second)
	s := c.Plan(3)
	var data strings.Builder
	for i := range rows {
		fmt.Fprintf(&data, row, i, i, i)
	}
	c.Write("folder/roster.txt", data.String())
	want := fmt.Sprintf("%x", sha256.Sum256([]byte(data.String())))

	c.StartState(s)
	c.Start("files", "data", "serve", "--root", c.Path("data"), "--listen", s.Files)
	var nodes strings.Builder
	for i, a := range s.Controllers {
		fmt.Fprintf(&nodes, "    - {node_name: stoker-%d, address: \"%s\"}\n", i, a)
	}
	c.Start("cloud", "provider", "--settings", c.Write("cloud.yaml", fmt.Sprintf(`listen: %s
dir: %s
rps: 5
types:
  - {sku: desk, cpus: 4, accelerators: 0, ramGb: 2, localGb: 2, pullGbPerS: 1, hourly: 1.0, spotPrice: 0.4, startupS: 4, depots: {north: 1}}
spot: {mean_life_s: 0, notice_s: 20}
agent:
  controllers:
%s  workers: {report_s: 1, lease_s: 10, gang_wait_s: 20, gang_peer_s: 3}
  images: [{name: base, command: [/bin/sh, -c, "true"]}]
  outside: %s
  open_files: 1024
  staging: {capacity_gb: 1, streams: 4, serving: 8, patience_s: 3}
`, s.Cloud, c.Path("cloud"), nodes.String(), c.Path("outside"))))
	c.StartControllers(s, "staging: {server_streams: 6, peer_streams: 2, machine_streams: 2, rate_mb_per_s: 50}\n")
	c.AwaitUp(s)
	for range 20 {
		if _, err := c.Run("data", "put", "roster", "1", c.Path("folder"), "--root", c.Path("data"), "--source", s.Files, "--address", s.Controllers[0]); err == nil {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}

	// The guests' job marks one row after the other in its own copy of the roster.
	mark := fmt.Sprintf(`i=0; while [ $i -lt %d ]; do printf 'truck ---- slot ---- taken' | dd of=in/roster.txt bs=1 seek=$((i*%d)) conv=notrunc 2>/dev/null; i=$((i+1)); echo $i > "$PROGRESS"; sleep 0.05; done`, rows, len(fmt.Sprintf(row, 0, 0, 0)))
	job := func(id, class, team, urgency, command string) string {
		text, _ := json.Marshal(command)
		return fmt.Sprintf(`{"ref":"%s","jobclass":"%s","crew":"%s","shape":"batch","urgency":"%s","loads":1,"cpus":4.0,"accelerators":0.0,"ramGb":0.5,"kit":"base","sizeGb":0.1,"rigs":null,"depot":null,"oneZone":false,"apart":false,"casual":false,"etaS":20.0,"waypointS":0.0,"stowS":0.0,"dueS":null,"command":["/bin/sh","-c",%s],"env":{"PROGRESS":"%s","RESULT":"%s"},"inputs":[{"set":"roster","version":"1","place":"in"}]}`,
			id, class, team, urgency, text, c.Path("progress"), c.Path("result"))
	}
	c.Submit(s, job("wk-000001", "marking", "guests", "standard", mark))
	for {
		var n int
		raw, _ := os.ReadFile(c.Path("progress"))
		if _, err := fmt.Sscan(string(raw), &n); err == nil && n >= 100 {
			c.Log("worker", "wk-000001/0 has marked %d of %d rows of its input", n, rows)
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	// The report waits for the machine until the guests call their job off.
	c.Submit(s, job("wk-000002", "report", "office", "standard", `cat in/roster.txt > "$RESULT.part" && mv "$RESULT.part" "$RESULT"`))
	for {
		if status, _ := c.Call("user", "POST", s.Controllers[2], "/v2/runs/wk-000001/abort", ""); status == 200 {
			break
		}
		time.Sleep(time.Second)
	}
	if c.Trouble {
		killed := 0
		c.Machines(func(pid int, what string) {
			if strings.Contains(what, " agent --settings") {
				killed++
				c.Log("trouble", "kill -9 %d: %s", pid, what)
				_ = syscall.Kill(pid, syscall.SIGKILL)
			}
		})
		if killed != 1 {
			c.Fail("%d agents", killed)
		}
	}
	for {
		_, state := c.Call("user", "GET", s.Controllers[1], "/v2/runs/wk-000002", "")
		if strings.Contains(state, `"done"`) && strings.Contains(state, `"status":"done"`) {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	got, err := os.ReadFile(c.Path("result"))
	c.Must(err)
	marked := strings.Count(string(got), "taken")
	sum := fmt.Sprintf("%x", sha256.Sum256(got))
	c.Log("worker", "wk-000002/0 read version 1 of roster: %d bytes, sha256 %s, %d rows with the marks of wk-000001; published: %d bytes, sha256 %s", len(got), sum, marked, data.Len(), want)
	if sum != want {
		c.Exit(kit.Broken)
	}
	c.Exit(kit.Held)
}
