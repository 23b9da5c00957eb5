//go:build review

// Case 3: the controllers delete a spot machine, before its notice is over, with the file of a
// job that is done.
//
// The state service, the cloud, the agent, the archive's nodes and three controllers are the
// project's own; the user is a stand-in, and the reader is the project's command line.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"silvergate/review/kit"
)

const (
	fileMB   = 60
	notice   = 20 // seconds, the nominal notice of the cloud
	patience = 40 * time.Second
)

func main() {
	c := kit.New(115 * time.Second)
	s := c.Plan(3)
	archivePorts := c.Ports(3)
	c.StartState(s)

	// The archive: an authority, its nodes and the key that they share with the controllers.
	authority := c.Path("authority")
	issue := func(who, to string) {
		_, err := c.Run("certs", "issue", who, "--authority", authority, "--to", c.Path("certs", to))
		c.Must(err)
	}
	_, err := c.Run("certs", "init", "--authority", authority, "--site", "review")
	c.Must(err)
	issue("operator/office", "office")
	key := c.Write("grant.key", strings.Repeat("5a", 32))
	var members strings.Builder
	var nodeFlags []string
	for i, p := range archivePorts {
		fmt.Fprintf(&members, "    - {name: archive-%d, address: \"127.0.0.1:%d\"}\n", i, p)
		nodeFlags = append(nodeFlags, "--node", fmt.Sprintf("archive-%d=127.0.0.1:%d", i, p))
	}
	for i, p := range archivePorts {
		name := fmt.Sprintf("archive-%d", i)
		issue("node/"+name, name)
		c.Start(name, "archive", "serve", "--settings", c.Write(name+".yaml", fmt.Sprintf(
			"name: %s\nlisten: 127.0.0.1:%d\ndir: %s\ncerts: %s\ngrant_key: %s\nmembers:\n%sreplicas: 3\n", name, p, c.Path(name), c.Path("certs", name), key, members.String())))
	}

	var controllers strings.Builder
	for i, a := range s.Controllers {
		fmt.Fprintf(&controllers, "    - {node_name: stoker-%d, address: \"%s\"}\n", i, a)
	}
	c.Start("cloud", "provider", "--settings", c.Write("cloud.yaml", fmt.Sprintf(`listen: %s
dir: %s
rps: 5
authority: %s
types:
  - {sku: desk, cpus: 4, accelerators: 0, ramGb: 4, localGb: 2, pullGbPerS: 1, hourly: 1.0, spotPrice: 0.4, startupS: 4, depots: {north: 1}}
spot: {mean_life_s: 0, notice_s: 20}
agent:
  controllers:
%s  workers: {report_s: 1, lease_s: 10, gang_wait_s: 20, gang_peer_s: 3}
  images: [{name: base, command: [/bin/sh, -c, "true"]}]
  outside: %s
  open_files: 1024
  archive:
    certs: /
    replicas: 3
    bound_s: 1
    rate_mb_per_s: 50
    urgent_mb_per_s: 1
    spool_mb: 200
    file_mb: 100
    files_max: 100
    members:
%s`, s.Cloud, c.Path("cloud"), authority, controllers.String(), c.Path("outside"), members.String())))
	c.StartControllers(s, fmt.Sprintf("archive: {grant_key: %s, hold_s: 60}\n", key))
	c.AwaitUp(s)

	text, _ := json.Marshal(fmt.Sprintf(`touch "$STARTED"; sleep 6; dd if=/dev/urandom of=forecast.bin bs=1M count=%d 2>/dev/null; echo "forecast is ready"`, fileMB))
	c.Submit(s, fmt.Sprintf(`{"ref":"wk-000003","jobclass":"prognoza","crew":"office","shape":"batch","urgency":"standard","loads":1,"cpus":4.0,"accelerators":0.0,"ramGb":0.5,"kit":"base","sizeGb":0.1,"rigs":null,"depot":null,"oneZone":false,"apart":false,"casual":true,"etaS":8.0,"waypointS":0.0,"stowS":0.0,"dueS":null,"command":["/bin/sh","-c",%s],"keep":["forecast.bin"],"env":{"STARTED":"%s"}}`, text, c.Path("started")))
	for {
		if _, err := os.Stat(c.Path("started")); err == nil {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Second)
	_, list := c.Call("client", "GET", s.Cloud, "/rentals?from=&page=500", "")
	if c.Trouble {
		var machines struct {
			Stokers []struct {
				Ref    string `json:"ref"`
				Casual bool   `json:"casual"`
			} `json:"stokers"`
		}
		c.Must(json.Unmarshal([]byte(list), &machines))
		if len(machines.Stokers) != 1 || !machines.Stokers[0].Casual {
			c.Fail("not one spot machine")
		}
		c.Call("trouble", "POST", s.Cloud, "/recalls", fmt.Sprintf(`{"stokers":["%s"],"noticeS":%d}`, machines.Stokers[0].Ref, notice))
	}
	noticed := time.Now()
	for {
		_, state := c.Call("user", "GET", s.Controllers[1], "/v2/runs/wk-000003", "")
		if strings.Contains(state, `"status":"done"`) {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	c.Log("user", "wk-000003 is done, %.1f s after the notice or the time for it", time.Since(noticed).Seconds())
	read := append([]string{"--certs", c.Path("certs", "office")}, nodeFlags...)
	for until := time.Now().Add(patience); time.Now().Before(until); time.Sleep(2 * time.Second) {
		c.Call("client", "GET", s.Cloud, "/rentals?from=&page=500", "")
		out, err := c.Run(append([]string{"artefacts", "list", "wk-000003", "--all", "--output", "json"}, read...)...)
		if err == nil && strings.Contains(out, `"forecast.bin"`) {
			_, err = c.Run(append([]string{"artefacts", "get", "wk-000003/0", "--to", c.Path("got")}, read...)...)
			c.Must(err)
			info, err := os.Stat(c.Path("got", "task-0", "forecast.bin"))
			c.Must(err)
			c.Log("reader", "the archive gives the file of wk-000003/0: %d bytes", info.Size())
			c.Exit(kit.Held)
		}
	}
	c.Log("reader", "the archive has no file of wk-000003/0, %s after the user was told that it is done", patience)
	c.Exit(kit.Broken)
}
