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
	written *Written
	machine string
	writes  bool // its program writes
}

// drawing is a history that is being drawn.
type drawing struct {
	*Site
	random   *rand.Rand
	machines map[string]*Machine
	attempts []*attempt
	jobs     int
	added    int // machines that took the place of lost ones
	sum      Drawn
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
	d := &drawing{Site: s, random: rand.New(rand.NewPCG(seed, 14)), machines: map[string]*Machine{}}
	defer d.stopMachines()
	err = d.play(rounds)
	return d.sum, err
}

func (d *drawing) stopMachines() {
	for _, m := range d.machines {
		m.Stop()
	}
}

func (d *drawing) play(rounds int) error {
	for i := range machinesAtStart {
		if err := d.startMachine(machineName(i)); err != nil {
			return err
		}
	}
	for range rounds {
		if err := d.round(); err != nil {
			return err
		}
	}
	if err := d.finish(); err != nil {
		return err
	}
	if err := d.read(); err != nil {
		return err
	}
	return d.countNodes()
}

func (d *drawing) round() error {
	if err := d.beginSome(); err != nil {
		return err
	}
	// Attempts that go on elsewhere are appended, and write from the next round on.
	for i, a := range d.attempts {
		if err := d.write(i, a); err != nil {
			return err
		}
	}
	if err := d.trouble(); err != nil {
		return err
	}
	time.Sleep(time.Duration(d.random.IntN(30)) * time.Millisecond)
	return nil
}

// addMachine starts a machine in the place of one that was lost.
func (d *drawing) addMachine() error {
	d.added++
	return d.startMachine(machineName(machinesAtStart + d.added))
}

// machinesAtStart is how many machines a history begins with.
const machinesAtStart = 3

func machineName(number int) string { return fmt.Sprint("m-", number) }

func (d *drawing) startMachine(name string) error {
	m, err := d.Machine(name, ownerOf, nil)
	d.machines[name] = m
	return err
}

// live are the machines that there are, by name.
func (d *drawing) live() []string { return slices.Sorted(maps.Keys(d.machines)) }

func (d *drawing) begin(machine string, a archive.Attempt) error {
	w := &Written{Attempt: a, Owner: ownerOf(a.Job), Files: map[string]string{}}
	d.attempts = append(d.attempts, &attempt{w, machine, true})
	d.sum.Attempts++
	return d.machines[machine].Run(a)
}

// beginSome has each machine begin something now and then.
func (d *drawing) beginSome() error {
	for _, name := range d.live() {
		if d.random.IntN(3) != 0 {
			continue
		}
		d.jobs++
		a := archive.Attempt{Job: fmt.Sprintf("wk-%06d", d.jobs), Task: d.random.IntN(3), Try: 1, Machine: name}
		if err := d.begin(name, a); err != nil {
			return err
		}
	}
	return nil
}

// write has an attempt write some lines, and end now and then.
func (d *drawing) write(i int, a *attempt) error {
	m := d.machines[a.machine]
	if !a.writes || m == nil {
		return nil
	}
	text := d.lines(a)
	if err := m.Write(a.written.Attempt, archive.Stdout, text); err != nil {
		return err
	}
	a.written.Out += text
	d.sum.Bytes += len(text)
	if d.random.IntN(8) != 0 {
		return nil
	}
	return d.end(i, a, m)
}

func (d *drawing) lines(a *attempt) string {
	var text strings.Builder
	for range d.random.IntN(20) {
		fmt.Fprintf(&text, "line %d of %s %s\n", len(a.written.Out)+text.Len(), a.written.Attempt, strings.Repeat("x", d.random.IntN(200)))
	}
	if d.random.IntN(15) == 0 {
		text.WriteString(strings.Repeat("a long line ", 30_000))
	}
	return text.String()
}

// end ends an attempt, which may leave a file, and may have been killed for urgent work
// and go on elsewhere.
func (d *drawing) end(i int, a *attempt, m *Machine) error {
	if d.random.IntN(2) == 0 {
		body := strings.Repeat(fmt.Sprint("result ", i%3), 1+d.random.IntN(200_000))
		path := filepath.Join(m.Folder(a.written.Attempt), ship.WorkDir, "out", "result.csv")
		if err := os.WriteFile(path, []byte(body), 0o600); err != nil {
			return err
		}
		a.written.Files["out/result.csv"] = body
		d.sum.Files++
	}
	a.writes, a.written.Ended = false, true
	m.Ended(a.written.Attempt, "done", 0)
	to := d.live()
	if d.random.IntN(3) != 0 {
		return nil
	}
	next := a.written.Attempt
	next.Try++
	next.Machine = to[d.random.IntN(len(to))]
	return d.begin(next.Machine, next)
}

// trouble stops or loses a node or a machine, or does nothing.
func (d *drawing) trouble() error {
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
func (d *drawing) stopNode(name string) {
	if len(d.Nodes) == 3 {
		d.Stop(name)
		d.sum.NodeStops++
	}
}

// startNodes brings back the nodes that are away.
func (d *drawing) startNodes() error {
	for _, m := range d.Members {
		if d.Nodes[m.Name] != nil {
			continue
		}
		if err := d.Start(m.Name); err != nil {
			return err
		}
	}
	return nil
}

// loseNodeDisk has a node lose its disk, when the others are level.
func (d *drawing) loseNodeDisk(name string) error {
	if len(d.Nodes) != 3 || d.random.IntN(2) != 0 {
		return nil
	}
	if err := d.level(name); err != nil {
		return err
	}
	if err := d.LoseDisk(name); err != nil {
		return err
	}
	if err := d.Start(name); err != nil {
		return err
	}
	d.sum.DisksLost++
	return nil
}

// killAgent kills an agent, which starts again, sometimes with old progress; its programs
// have ended.
func (d *drawing) killAgent() error {
	list := d.live()
	name := list[d.random.IntN(len(list))]
	d.machines[name].Stop()
	d.sum.AgentStops++
	if d.random.IntN(3) == 0 {
		for _, a := range d.attemptsOn(name) {
			_ = os.Remove(filepath.Join(d.machines[name].Folder(a.written.Attempt), ship.AccountFile))
		}
	}
	if err := d.startMachine(name); err != nil {
		return err
	}
	m := d.machines[name]
	for _, a := range d.attemptsOn(name) {
		if err := m.Resume(a.written.Attempt, m.Folder(a.written.Attempt)); err != nil {
			return err
		}
		a.writes, a.written.Ended = false, true
		m.Ended(a.written.Attempt, "lost with its agent", -1)
	}
	return nil
}

func (d *drawing) attemptsOn(machine string) (on []*attempt) {
	for _, a := range d.attempts {
		if a.machine == machine {
			on = append(on, a)
		}
	}
	return on
}

// loseMachine loses a machine with its disk; another takes its place.
func (d *drawing) loseMachine() error {
	list := d.live()
	if len(d.Nodes) != 3 || d.random.IntN(2) != 0 {
		return nil
	}
	name := list[d.random.IntN(len(list))]
	m, on := d.machines[name], d.attemptsOn(name)
	promised := make([]int, len(on))
	for i, a := range on {
		promised[i] = len(a.written.Out)
	}
	// What was written a bound ago is kept; how long this takes on a busy
	// machine is not the promise, so what was shipped is waited for.
	if err := settle(m, false); err != nil {
		return err
	}
	for i, a := range on {
		a.written.Promised = promised[i]
		if a.writes {
			_ = m.Write(a.written.Attempt, archive.Stdout, "and this may be lost\n")
			a.written.Out += "and this may be lost\n"
			a.writes = false
		}
	}
	m.Stop()
	if err := os.RemoveAll(m.Dir); err != nil {
		return err
	}
	delete(d.machines, name)
	d.sum.MachinesLost++
	return d.addMachine()
}

// finish ends all attempts, has all that was written shipped, and may lose one node for good.
func (d *drawing) finish() error {
	if err := d.startNodes(); err != nil {
		return err
	}
	for _, a := range d.attempts {
		m := d.machines[a.machine]
		if m == nil {
			continue
		}
		a.written.Promised = len(a.written.Out)
		if a.writes {
			a.writes, a.written.Ended = false, true
			m.Ended(a.written.Attempt, "done", 0)
		}
	}
	for _, name := range d.live() {
		if err := settle(d.machines[name], true); err != nil {
			return err
		}
	}
	if err := d.level(""); err != nil {
		return err
	}
	if d.random.IntN(2) != 0 {
		return nil
	}
	return d.LoseDisk(d.Members[d.random.IntN(3)].Name)
}

// read reads every attempt as its customer and as another.
func (d *drawing) read() error {
	ctx := context.Background()
	for _, a := range d.attempts {
		customer := a.written.Owner.Customer
		mine, err := d.Reader("customer/office/" + customer)
		if err != nil {
			return err
		}
		got, err := Collect(ctx, mine, a.written.Attempt)
		if err != nil {
			return fmt.Errorf("%s: %w", a.written.Attempt, err)
		}
		d.sum.Reads++
		if d.machines[a.machine] == nil { // lost: its end and files may be
			a.written.Ended = false
		}
		if err := Judge(a.written, got); err != nil {
			return err
		}
		other, err := d.Reader("customer/office/" + customers[(slices.Index(customers, customer)+1)%3])
		if err != nil {
			return err
		}
		if err := Closed(ctx, other, a.written.Attempt); err != nil {
			return err
		}
		d.sum.Denied++
	}
	return nil
}

// countNodes sums up what the nodes did, and fails if one found damage.
func (d *drawing) countNodes() error {
	for _, n := range d.Nodes {
		st := n.Stats()
		d.sum.Mended += st.Mended
		d.sum.Pulled += st.Pulled
		if st.Rebuilt || st.Damaged > 0 {
			return fmt.Errorf("a node found damage that nobody did: %+v", st.Stats)
		}
	}
	return nil
}
