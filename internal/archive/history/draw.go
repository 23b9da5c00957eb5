package history

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"silvergate/internal/archive"
	"silvergate/internal/archive/ship"
)

// Drawn is what a drawn history did.
type Drawn struct {
	Attempts, Bytes, Files   int
	NodeStops, DisksLost     int
	AgentStops, MachinesLost int
	Reads, Denied            int
	Mended, Pulled           int64
}

// customers are whose the attempts are, by the last digit of their jobs.
var customers = []string{"baker", "miller", "smith"}

func ownerOf(job string) archive.Owner {
	return archive.Owner{Team: "office", Customer: customers[int(job[len(job)-1]-'0')%len(customers)]}
}

// attempt is one attempt of a history.
type attempt struct {
	expected *Expected
	machine  string
	running  bool // its program writes
}

// randomRun is a history that is being drawn.
type randomRun struct {
	*Site
	random       *rand.Rand
	machines     map[string]*Machine
	attempts     []*attempt
	jobs         int
	replacements int // machines that took the place of lost ones
	summary      Drawn
}

// Draw plays a history of some rounds and judges it: machines run attempts that
// write; shippers and nodes are stopped and started, at most as many nodes at a
// time as the quorum allows; nodes and machines are lost with their disks. In the
// end every attempt is read by its customer, through any node, and by another, who
// must be told that there is nothing.
func Draw(dir string, seed uint64, rounds int) (Drawn, error) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	s, err := New(dir, 3, log, nil)
	if err != nil {
		return Drawn{}, err
	}
	defer s.Close()
	d := &randomRun{Site: s, random: rand.New(rand.NewPCG(seed, 14)), machines: map[string]*Machine{}}
	defer d.stopMachines()
	err = d.run(rounds)
	return d.summary, err
}

func (d *randomRun) stopMachines() {
	for _, m := range d.machines {
		m.Stop()
	}
}

func (d *randomRun) run(rounds int) error {
	for i := range machinesAtStart {
		if err := d.startMachine(machineName(i)); err != nil {
			return err
		}
	}
	for range rounds {
		if err := d.playRound(); err != nil {
			return err
		}
	}
	if err := d.finish(); err != nil {
		return err
	}
	if err := d.checkReads(); err != nil {
		return err
	}
	return d.addNodeStats()
}

func (d *randomRun) playRound() error {
	if err := d.startJobs(); err != nil {
		return err
	}
	// Attempts that go on elsewhere are appended, and write from the next round on.
	for i, a := range d.attempts {
		if err := d.writeOutput(i, a); err != nil {
			return err
		}
	}
	if err := d.injectFault(); err != nil {
		return err
	}
	time.Sleep(time.Duration(d.random.IntN(30)) * time.Millisecond)
	return nil
}

// startReplacement starts a machine in the place of one that was lost.
func (d *randomRun) startReplacement() error {
	d.replacements++
	return d.startMachine(machineName(machinesAtStart + d.replacements))
}

// machinesAtStart is how many machines a history begins with.
const machinesAtStart = 3

func machineName(number int) string { return fmt.Sprint("m-", number) }

func (d *randomRun) startMachine(name string) error {
	m, err := d.StartMachine(name, ownerOf, nil)
	d.machines[name] = m
	return err
}

// machineNames are the machines that there are, by name.
func (d *randomRun) machineNames() []string { return slices.Sorted(maps.Keys(d.machines)) }

func (d *randomRun) startAttempt(machine string, a archive.Attempt) error {
	w := &Expected{Attempt: a, Owner: ownerOf(a.Job), Files: map[string]string{}}
	d.attempts = append(d.attempts, &attempt{w, machine, true})
	d.summary.Attempts++
	return d.machines[machine].StartAttempt(a)
}

// startJobs has each machine begin something now and then.
func (d *randomRun) startJobs() error {
	for _, name := range d.machineNames() {
		if d.random.IntN(3) != 0 {
			continue
		}
		d.jobs++
		a := archive.Attempt{Job: fmt.Sprintf("wk-%06d", d.jobs), Task: d.random.IntN(3), Try: 1, Machine: name}
		if err := d.startAttempt(name, a); err != nil {
			return err
		}
	}
	return nil
}

// writeOutput has an attempt writeOutput some lines, and end now and then.
func (d *randomRun) writeOutput(i int, a *attempt) error {
	m := d.machines[a.machine]
	if !a.running || m == nil {
		return nil
	}
	text := d.randomOutput(a)
	if err := m.Write(a.expected.Attempt, archive.Stdout, text); err != nil {
		return err
	}
	a.expected.Output += text
	d.summary.Bytes += len(text)
	if d.random.IntN(8) != 0 {
		return nil
	}
	return d.endAttempt(i, a, m)
}

func (d *randomRun) randomOutput(a *attempt) string {
	var text strings.Builder
	for range d.random.IntN(20) {
		fmt.Fprintf(&text, "line %d of %s %s\n", len(a.expected.Output)+text.Len(), a.expected.Attempt, strings.Repeat("x", d.random.IntN(200)))
	}
	if d.random.IntN(15) == 0 {
		text.WriteString(strings.Repeat("a long line ", 30_000))
	}
	return text.String()
}

// endAttempt ends an attempt, which may leave a file, and may have been killed for urgent work
// and go on elsewhere.
func (d *randomRun) endAttempt(i int, a *attempt, m *Machine) error {
	if d.random.IntN(2) == 0 {
		body := strings.Repeat(fmt.Sprint("result ", i%3), 1+d.random.IntN(200_000))
		path := filepath.Join(m.Folder(a.expected.Attempt), ship.WorkDir, "out", "result.csv")
		if err := os.WriteFile(path, []byte(body), 0o600); err != nil {
			return err
		}
		a.expected.Files["out/result.csv"] = body
		d.summary.Files++
	}
	a.running, a.expected.Ended = false, true
	m.Ended(a.expected.Attempt, "done", 0)
	to := d.machineNames()
	if d.random.IntN(3) != 0 {
		return nil
	}
	next := a.expected.Attempt
	next.Try++
	next.Machine = to[d.random.IntN(len(to))]
	return d.startAttempt(next.Machine, next)
}

// injectFault stops or loses a node or a machine, or does nothing.
func (d *randomRun) injectFault() error {
	name := d.Members[d.random.IntN(3)].Name
	switch d.random.IntN(9) {
	case 0:
		d.stopNode(name)
	case 1:
		return d.startNodes()
	case 2:
		return d.loseNodeDisk(name)
	case 3, 4:
		return d.killAgent()
	case 5:
		return d.loseMachine()
	}
	return nil
}

// stopNode has a node be away for a while.
func (d *randomRun) stopNode(name string) {
	if len(d.Nodes) == 3 {
		d.StopNode(name)
		d.summary.NodeStops++
	}
}

// startNodes brings back the nodes that are away.
func (d *randomRun) startNodes() error {
	for _, m := range d.Members {
		if d.Nodes[m.Name] != nil {
			continue
		}
		if err := d.StartNode(m.Name); err != nil {
			return err
		}
	}
	return nil
}

// loseNodeDisk has a node lose its disk, when the others are level.
func (d *randomRun) loseNodeDisk(name string) error {
	if len(d.Nodes) != 3 || d.random.IntN(2) != 0 {
		return nil
	}
	if err := d.waitReplicated(name); err != nil {
		return err
	}
	if err := d.LoseDisk(name); err != nil {
		return err
	}
	if err := d.StartNode(name); err != nil {
		return err
	}
	d.summary.DisksLost++
	return nil
}

// killAgent kills an agent, which starts again, sometimes with old progress; its programs
// have ended.
func (d *randomRun) killAgent() error {
	list := d.machineNames()
	name := list[d.random.IntN(len(list))]
	d.machines[name].Stop()
	d.summary.AgentStops++
	if d.random.IntN(3) == 0 {
		for _, a := range d.attemptsOn(name) {
			_ = os.Remove(filepath.Join(d.machines[name].Folder(a.expected.Attempt), ship.AccountFile))
		}
	}
	if err := d.startMachine(name); err != nil {
		return err
	}
	m := d.machines[name]
	for _, a := range d.attemptsOn(name) {
		if err := m.Resume(a.expected.Attempt, m.Folder(a.expected.Attempt)); err != nil {
			return err
		}
		a.running, a.expected.Ended = false, true
		m.Ended(a.expected.Attempt, "lost with its agent", -1)
	}
	return nil
}

func (d *randomRun) attemptsOn(machine string) (on []*attempt) {
	for _, a := range d.attempts {
		if a.machine == machine {
			on = append(on, a)
		}
	}
	return on
}

// loseMachine loses a machine with its disk; another takes its place.
func (d *randomRun) loseMachine() error {
	list := d.machineNames()
	if len(d.Nodes) != 3 || d.random.IntN(2) != 0 {
		return nil
	}
	name := list[d.random.IntN(len(list))]
	m, on := d.machines[name], d.attemptsOn(name)
	promised := make([]int, len(on))
	for i, a := range on {
		promised[i] = len(a.expected.Output)
	}
	// What was written a bound ago is kept; how long this takes on a busy
	// machine is not the promise, so what was shipped is waited for.
	if err := waitShipped(m, false); err != nil {
		return err
	}
	for i, a := range on {
		a.expected.Promised = promised[i]
		if a.running {
			_ = m.Write(a.expected.Attempt, archive.Stdout, "and this may be lost\n")
			a.expected.Output += "and this may be lost\n"
			a.running = false
		}
	}
	m.Stop()
	if err := os.RemoveAll(m.Dir); err != nil {
		return err
	}
	delete(d.machines, name)
	d.summary.MachinesLost++
	return d.startReplacement()
}

// finish ends all attempts, has all that was written shipped, and may lose one node for good.
func (d *randomRun) finish() error {
	if err := d.startNodes(); err != nil {
		return err
	}
	for _, a := range d.attempts {
		m := d.machines[a.machine]
		if m == nil {
			continue
		}
		a.expected.Promised = len(a.expected.Output)
		if a.running {
			a.running, a.expected.Ended = false, true
			m.Ended(a.expected.Attempt, "done", 0)
		}
	}
	for _, name := range d.machineNames() {
		if err := waitShipped(d.machines[name], true); err != nil {
			return err
		}
	}
	if err := d.waitReplicated(""); err != nil {
		return err
	}
	if d.random.IntN(2) != 0 {
		return nil
	}
	return d.LoseDisk(d.Members[d.random.IntN(3)].Name)
}

// checkReads reads every attempt as its customer and as another.
func (d *randomRun) checkReads() error {
	ctx := context.Background()
	for _, a := range d.attempts {
		customer := a.expected.Owner.Customer
		mine, err := d.NewReader("customer/office/" + customer)
		if err != nil {
			return err
		}
		got, err := ReadAttempt(ctx, mine, a.expected.Attempt)
		if err != nil {
			return fmt.Errorf("%s: %w", a.expected.Attempt, err)
		}
		d.summary.Reads++
		if d.machines[a.machine] == nil { // lost: its end and files may be
			a.expected.Ended = false
		}
		if err := CheckRead(a.expected, got); err != nil {
			return err
		}
		other, err := d.NewReader("customer/office/" + customers[(slices.Index(customers, customer)+1)%3])
		if err != nil {
			return err
		}
		if err := CheckDenied(ctx, other, a.expected.Attempt); err != nil {
			return err
		}
		d.summary.Denied++
	}
	return nil
}

// addNodeStats sums up what the nodes did, and fails if one found damage.
func (d *randomRun) addNodeStats() error {
	for _, n := range d.Nodes {
		st := n.Stats()
		d.summary.Mended += st.Mended
		d.summary.Pulled += st.Pulled
		if st.Rebuilt || st.Damaged > 0 {
			return fmt.Errorf("a node found damage that nobody did: %+v", st.Stats)
		}
	}
	return nil
}
