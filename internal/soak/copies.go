package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/go-logfmt/logfmt"

	"silvergate/internal/agent"
	"silvergate/internal/protocol"
	"silvergate/internal/site"
)

const (
	// earliestCopy and latestCopy bound how long after a launch a copy of it is sent.
	earliestCopy = 100 * time.Millisecond
	latestCopy   = 6 * time.Second

	// maxCopies is how many copies of one launch are sent.
	maxCopies = 3

	// tailInterval is the time between two looks at the controllers' logs.
	tailInterval = 50 * time.Millisecond

	// copyTimeout is how long a copy waits for its answer.
	copyTimeout = 2 * time.Second
)

// directLaunchMessage is the message of the debug line that a controller logs for each direct launch.
const directLaunchMessage = "launch sent directly"

// directLaunch is a launch that a controller has sent to a worker directly, as its log tells.
type directLaunch struct {
	machine string
	body    protocol.DirectCommands
}

// launchCopier sends copies of the direct launches of a site's controllers to the workers, as a network
// may that delivers requests more than once. It learns of the launches from the controllers' debug logs.
type launchCopier struct {
	dir     string // the site's folder
	random  *rand.Rand
	client  http.Client
	offsets map[string]int64 // how far each log has been read
	stop    func()           // ends run
	stopped <-chan struct{}  // closed by stop
	pending sync.WaitGroup

	mu             sync.Mutex
	sent, accepted int
}

// startLaunchCopier starts a copier, which runs until finish is called.
func startLaunchCopier(dir string, seed uint64) *launchCopier {
	ctx, cancel := context.WithCancel(context.Background())
	c := &launchCopier{
		dir:     dir,
		random:  rand.New(rand.NewPCG(seed, 2)),
		client:  http.Client{Timeout: copyTimeout},
		offsets: map[string]int64{},
		stop:    cancel,
		stopped: ctx.Done(),
	}
	c.pending.Add(1)
	go c.run()
	return c
}

// run follows the logs and sends the copies that are due.
func (c *launchCopier) run() {
	defer c.pending.Done()
	ticker := time.NewTicker(tailInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.stopped:
			return
		case <-ticker.C:
			for _, launch := range c.newLaunches() {
				c.schedule(launch)
			}
		}
	}
}

// finish waits for the copies that are still to be sent and returns how many were sent, and how many
// of these the workers accepted.
func (c *launchCopier) finish() (sent, accepted int) {
	c.stop()
	c.pending.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent, c.accepted
}

// schedule sends up to maxCopies copies of a launch at random times.
func (c *launchCopier) schedule(launch directLaunch) {
	for range 1 + c.random.IntN(maxCopies) {
		delay := earliestCopy + time.Duration(c.random.Int64N(int64(latestCopy-earliestCopy)))
		c.pending.Add(1)
		time.AfterFunc(delay, func() {
			defer c.pending.Done()
			c.send(launch)
		})
	}
}

// send sends a copy of a launch to the worker, if that is up.
func (c *launchCopier) send(launch directLaunch) {
	address, err := os.ReadFile(filepath.Join(c.dir, machinesDir, launch.machine, agent.AddressFile))
	if err != nil {
		return // the machine is gone
	}
	answer, err := c.client.Post("http://"+string(address)+protocol.PathCommands, "application/json", bytes.NewReader(protocol.Encode(launch.body)))
	if err == nil {
		defer answer.Body.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	if err == nil && answer.StatusCode == http.StatusOK {
		c.accepted++
	}
}

// newLaunches returns the launches that the controllers have logged since the last call.
func (c *launchCopier) newLaunches() (launches []directLaunch) {
	logs, _ := filepath.Glob(filepath.Join(c.dir, site.LogsDir, "*.log"))
	for _, file := range logs {
		for _, line := range c.newLines(file) {
			if !bytes.Contains(line, []byte(directLaunchMessage)) {
				continue
			}
			if launch, err := parseDirectLaunch(line); err == nil {
				launches = append(launches, launch)
			}
		}
	}
	return launches
}

// newLines returns the complete lines that were appended to a log since the last call. A log that has
// become shorter was rotated, and is read from its beginning.
func (c *launchCopier) newLines(file string) [][]byte {
	f, err := os.Open(file)
	if err != nil {
		return nil
	}
	defer f.Close()
	if info, err := f.Stat(); err == nil && info.Size() < c.offsets[file] {
		c.offsets[file] = 0
	}
	if _, err := f.Seek(c.offsets[file], io.SeekStart); err != nil {
		return nil
	}
	added, err := io.ReadAll(f)
	end := bytes.LastIndexByte(added, '\n')
	if err != nil || end < 0 {
		return nil
	}
	c.offsets[file] += int64(end) + 1
	return bytes.Split(added[:end], []byte("\n"))
}

// errNoLaunch is the error for a line that lacks an attribute of a launch.
var errNoLaunch = errors.New("the line does not describe a direct launch")

// parseDirectLaunch reads the debug line of a direct launch.
func parseDirectLaunch(line []byte) (directLaunch, error) {
	attributes := map[string]string{}
	decoder := logfmt.NewDecoder(bytes.NewReader(line))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			attributes[string(decoder.Key())] = string(decoder.Value())
		}
	}
	if err := decoder.Err(); err != nil {
		return directLaunch{}, fmt.Errorf("reading a log line: %w", err)
	}
	token, tokenErr := strconv.ParseUint(attributes["token"], 10, 64)
	epoch, epochErr := strconv.ParseUint(attributes["epoch"], 10, 64)
	attempt, attemptErr := strconv.Atoi(attributes["attempt"])
	if attributes["msg"] != directLaunchMessage || tokenErr != nil || epochErr != nil || attemptErr != nil {
		return directLaunch{}, errNoLaunch
	}
	return directLaunch{
		machine: attributes["machine"],
		body: protocol.DirectCommands{
			FencingToken: token,
			AgentEpoch:   epoch,
			Commands:     []protocol.Command{{Verb: protocol.VerbLaunch, Task: attributes["task"], Attempt: attempt}},
		},
	}, nil
}
