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

// Summary counts what happened in a random history. silvergate archive soak prints it
// under its fields' Go names.
type Summary struct {
	Attempts, Bytes, Files   int
	NodeStops, DisksLost     int
	AgentStops, MachinesLost int
	Reads, Denied            int
	Mended, Pulled           int64
}

// customers own the attempts; ownerOf selects one by the last digit of the job.
var customers = []string{"baker", "miller", "smith"}

// ownerOf returns the owner of a job.
func ownerOf(job string) archive.Owner {
	return archive.Owner{Team: "office", Customer: customers[int(job[len(job)-1]-'0')%len(customers)]}
}

// attempt is one attempt of a history.
type attempt struct {
	expected *Expected
	machine  string
	running  bool // its program still writes
}

// randomRun is a random history in progress.
type randomRun struct {
	*Site
	random       *rand.Rand
	machines     map[string]*Machine
	attempts     []*attempt
	jobs         int
	replacements int // machines that replaced lost ones
	summary      Summary
}

// RunRandom runs a random history of some rounds and checks it. Machines run attempts that
// write output. Shippers and nodes are stopped and started, with at most as many nodes
// stopped at a time as the quorum allows. Nodes and machines are lost with their disks.
// At the end each attempt is read by its customer, through any node, and by another
// customer, who must not find it.
func RunRandom(dir string, seed uint64, rounds int) (Summary, error) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	s, err := New(dir, 3, log, nil)
	if err != nil {
		return Summary{}, err
	}
	defer s.Close()
	run := &randomRun{Site: s, random: rand.New(rand.NewPCG(seed, 14)), machines: map[string]*Machine{}}
	defer run.stopMachines()
	err = run.run(rounds)
	return run.summary, err
}

func (r *randomRun) stopMachines() {
	for _, m := range r.machines {
		m.Stop()
	}
}

func (r *randomRun) run(rounds int) error {
	for i := range machinesAtStart {
		if err := r.startMachine(machineName(i)); err != nil {
			return err
		}
	}
	for range rounds {
		if err := r.playRound(); err != nil {
			return err
		}
	}
	if err := r.finish(); err != nil {
		return err
	}
	if err := r.checkReads(); err != nil {
		return err
	}
	return r.addNodeStats()
}

func (r *randomRun) playRound() error {
	if err := r.startJobs(); err != nil {
		return err
	}
	// Attempts that are retried on another machine are appended to r.attempts during this
	// loop. They write from the next round on.
	for i, a := range r.attempts {
		if err := r.writeOutput(i, a); err != nil {
			return err
		}
	}
	if err := r.injectFault(); err != nil {
		return err
	}
	time.Sleep(time.Duration(r.random.IntN(30)) * time.Millisecond)
	return nil
}

// startReplacement starts a machine that replaces a lost one.
func (r *randomRun) startReplacement() error {
	r.replacements++
	return r.startMachine(machineName(machinesAtStart + r.replacements))
}

// machinesAtStart is how many machines a history starts with.
const machinesAtStart = 3

func machineName(number int) string { return fmt.Sprint("m-", number) }

func (r *randomRun) startMachine(name string) error {
	m, err := r.StartMachine(name, ownerOf, nil)
	r.machines[name] = m
	return err
}

// machineNames returns the sorted names of the present machines.
func (r *randomRun) machineNames() []string { return slices.Sorted(maps.Keys(r.machines)) }

// startAttempt starts an attempt on a machine.
func (r *randomRun) startAttempt(machine string, a archive.Attempt) error {
	expected := &Expected{Attempt: a, Owner: ownerOf(a.Job), Files: map[string]string{}}
	r.attempts = append(r.attempts, &attempt{expected, machine, true})
	r.summary.Attempts++
	return r.machines[machine].Run(a)
}

// startJobs starts a job on each machine with a probability of 1/3.
func (r *randomRun) startJobs() error {
	for _, name := range r.machineNames() {
		if r.random.IntN(3) != 0 {
			continue
		}
		r.jobs++
		a := archive.Attempt{Job: fmt.Sprintf("wk-%06d", r.jobs), Task: r.random.IntN(3), Try: 1, Machine: name}
		if err := r.startAttempt(name, a); err != nil {
			return err
		}
	}
	return nil
}

// writeOutput writes random lines to a running attempt's output, and ends the attempt with
// a probability of 1/8.
func (r *randomRun) writeOutput(i int, a *attempt) error {
	m := r.machines[a.machine]
	if !a.running || m == nil {
		return nil
	}
	text := r.randomOutput(a)
	if err := m.Write(a.expected.Attempt, archive.Stdout, text); err != nil {
		return err
	}
	a.expected.Output += text
	r.summary.Bytes += len(text)
	if r.random.IntN(8) != 0 {
		return nil
	}
	return r.endAttempt(i, a, m)
}

// randomOutput returns up to 19 lines, sometimes followed by one long line.
func (r *randomRun) randomOutput(a *attempt) string {
	var text strings.Builder
	for range r.random.IntN(20) {
		fmt.Fprintf(&text, "line %d of %s %s\n", len(a.expected.Output)+text.Len(), a.expected.Attempt, strings.Repeat("x", r.random.IntN(200)))
	}
	if r.random.IntN(15) == 0 {
		text.WriteString(strings.Repeat("a long line ", 30_000))
	}
	return text.String()
}

// endAttempt ends an attempt. The attempt may leave a file. It may also start again as a
// new try, as if it had been killed for urgent work.
func (r *randomRun) endAttempt(i int, a *attempt, m *Machine) error {
	if r.random.IntN(2) == 0 {
		body := strings.Repeat(fmt.Sprint("result ", i%3), 1+r.random.IntN(200_000))
		path := filepath.Join(m.Folder(a.expected.Attempt), ship.WorkDir, "out", "result.csv")
		if err := os.WriteFile(path, []byte(body), 0o600); err != nil {
			return err
		}
		a.expected.Files["out/result.csv"] = body
		r.summary.Files++
	}
	a.running, a.expected.Ended = false, true
	m.RecordEnd(a.expected.Attempt, "done", 0)
	names := r.machineNames()
	if r.random.IntN(3) != 0 {
		return nil
	}
	next := a.expected.Attempt
	next.Try++
	next.Machine = names[r.random.IntN(len(names))]
	return r.startAttempt(next.Machine, next)
}

// injectFault stops or loses a random node or machine, starts stopped nodes, or does
// nothing.
func (r *randomRun) injectFault() error {
	name := r.Members[r.random.IntN(3)].Name
	switch r.random.IntN(9) {
	case 0:
		r.stopNode(name)
	case 1:
		return r.startNodes()
	case 2:
		return r.loseNodeDisk(name)
	case 3, 4:
		return r.killAgent()
	case 5:
		return r.loseMachine()
	}
	return nil
}

// stopNode stops a node, if all nodes are running, until startNodes starts it again.
func (r *randomRun) stopNode(name string) {
	if len(r.Nodes) == 3 {
		r.StopNode(name)
		r.summary.NodeStops++
	}
}

// startNodes starts all stopped nodes.
func (r *randomRun) startNodes() error {
	for _, m := range r.Members {
		if r.Nodes[m.Name] != nil {
			continue
		}
		if err := r.StartNode(m.Name); err != nil {
			return err
		}
	}
	return nil
}

// loseNodeDisk deletes a node's data after the other nodes have the same records, and
// starts the node again. It does nothing if a node is stopped, or with a probability of 1/2.
func (r *randomRun) loseNodeDisk(name string) error {
	if len(r.Nodes) != 3 || r.random.IntN(2) != 0 {
		return nil
	}
	if err := r.waitReplicated(name); err != nil {
		return err
	}
	if err := r.LoseDisk(name); err != nil {
		return err
	}
	if err := r.StartNode(name); err != nil {
		return err
	}
	r.summary.DisksLost++
	return nil
}

// killAgent stops a machine's shipper and starts it again, with a probability of 1/3 without
// its saved progress. It marks all attempts of the machine as ended.
func (r *randomRun) killAgent() error {
	names := r.machineNames()
	name := names[r.random.IntN(len(names))]
	r.machines[name].Stop()
	r.summary.AgentStops++
	if r.random.IntN(3) == 0 {
		for _, a := range r.attemptsOn(name) {
			_ = os.Remove(filepath.Join(r.machines[name].Folder(a.expected.Attempt), ship.ProgressFile))
		}
	}
	if err := r.startMachine(name); err != nil {
		return err
	}
	m := r.machines[name]
	for _, a := range r.attemptsOn(name) {
		if err := m.Resume(a.expected.Attempt, m.Folder(a.expected.Attempt)); err != nil {
			return err
		}
		a.running, a.expected.Ended = false, true
		m.RecordEnd(a.expected.Attempt, "lost with its agent", -1)
	}
	return nil
}

// attemptsOn returns the attempts of a machine.
func (r *randomRun) attemptsOn(machine string) (attempts []*attempt) {
	for _, a := range r.attempts {
		if a.machine == machine {
			attempts = append(attempts, a)
		}
	}
	return attempts
}

// loseMachine deletes a machine with its disk and starts another in its place. It does
// nothing if a node is stopped, or with a probability of 1/2.
func (r *randomRun) loseMachine() error {
	names := r.machineNames()
	if len(r.Nodes) != 3 || r.random.IntN(2) != 0 {
		return nil
	}
	name := names[r.random.IntN(len(names))]
	m, attempts := r.machines[name], r.attemptsOn(name)
	promised := make([]int, len(attempts))
	for i, a := range attempts {
		promised[i] = len(a.expected.Output)
	}
	// The archive promises output that was written at least the age bound (BoundS) before the loss.
	// Shipping may take longer on a busy machine, and its time is not part of the promise,
	// so wait until everything written up to now is shipped.
	if err := waitShipped(m, false); err != nil {
		return err
	}
	for i, a := range attempts {
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
	delete(r.machines, name)
	r.summary.MachinesLost++
	return r.startReplacement()
}

// finish starts all nodes, ends all attempts, waits until their output is shipped and the
// nodes have the same records, and deletes one node for good with a probability of 1/2.
func (r *randomRun) finish() error {
	if err := r.startNodes(); err != nil {
		return err
	}
	for _, a := range r.attempts {
		m := r.machines[a.machine]
		if m == nil {
			continue
		}
		a.expected.Promised = len(a.expected.Output)
		if a.running {
			a.running, a.expected.Ended = false, true
			m.RecordEnd(a.expected.Attempt, "done", 0)
		}
	}
	for _, name := range r.machineNames() {
		if err := waitShipped(r.machines[name], true); err != nil {
			return err
		}
	}
	if err := r.waitReplicated(""); err != nil {
		return err
	}
	if r.random.IntN(2) != 0 {
		return nil
	}
	return r.LoseDisk(r.Members[r.random.IntN(3)].Name)
}

// checkReads reads each attempt as its customer, checks the result, and checks that another
// customer can't read the attempt.
func (r *randomRun) checkReads() error {
	ctx := context.Background()
	for _, a := range r.attempts {
		customer := a.expected.Owner.Customer
		owner, err := r.NewReader("customer/office/" + customer)
		if err != nil {
			return err
		}
		got, err := ReadAttempt(ctx, owner, a.expected.Attempt)
		if err != nil {
			return fmt.Errorf("%s: %w", a.expected.Attempt, err)
		}
		r.summary.Reads++
		if r.machines[a.machine] == nil { // the machine was lost, and the attempt's end and files may be lost with it
			a.expected.Ended = false
		}
		if err := CheckRead(a.expected, got); err != nil {
			return err
		}
		other, err := r.NewReader("customer/office/" + customers[(slices.Index(customers, customer)+1)%3])
		if err != nil {
			return err
		}
		if err := CheckDenied(ctx, other, a.expected.Attempt); err != nil {
			return err
		}
		r.summary.Denied++
	}
	return nil
}

// addNodeStats adds the nodes' counters to the summary. It returns an error if a node found
// damage, as nothing damages the nodes' files.
func (r *randomRun) addNodeStats() error {
	for _, n := range r.Nodes {
		stats := n.Stats()
		r.summary.Mended += stats.Mended
		r.summary.Pulled += stats.Pulled
		if stats.Rebuilt || stats.Damaged > 0 {
			return fmt.Errorf("a node found damage, though nothing damaged its files: %+v", stats.Stats)
		}
	}
	return nil
}
