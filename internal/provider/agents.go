package provider

import (
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/google/renameio/v2"
	"go.yaml.in/yaml/v3"

	"silvergate/internal/agent"
	"silvergate/internal/identity"
	"silvergate/internal/proc"
)

// killTimeout is how long to wait for a killed agent to be gone before it is signalled again.
const killTimeout = 5 * time.Second

// endAgent kills an agent, again after each killTimeout, and returns when it is gone.
func endAgent(id proc.ID) {
	for {
		_ = id.Signal(syscall.SIGKILL)
		if id.Await(time.Now().Add(killTimeout)) {
			return
		}
	}
}

// readAgent reads the recorded identity of a machine's agent. A machine whose agent was never
// started has no record.
func (p *Provider) readAgent(name string) (proc.ID, error) {
	return proc.ReadRecord(filepath.Join(p.dir(name), agentFile))
}

// endRecordedAgent ends a machine's agent and reports whether the agent is known to be gone.
func (p *Provider) endRecordedAgent(name string) bool {
	id, err := p.readAgent(name)
	switch {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil:
		p.log.Error("an agent can't be ended; remove its record once it is gone", "machine", name, "error", err)
		return false
	default:
		endAgent(id)
	}
	return true
}

// endTasks ends the tasks on a machine whose agent is gone.
func (p *Provider) endTasks(name string) error {
	err := agent.EndTasks(p.dir(name))
	if err != nil {
		p.log.Error("tasks of a machine can't be ended", "machine", name, "error", err)
	}
	return err
}

// readAddress returns the address that a machine's agent has written, or "" if there is none.
func (p *Provider) readAddress(name string) string {
	raw, err := os.ReadFile(filepath.Join(p.dir(name), agent.AddressFile))
	if err != nil {
		return ""
	}
	return string(raw)
}

// checkPeriod is the time between two checks of the agents.
const checkPeriod = 250 * time.Millisecond

// tick runs every checkPeriod. It tells the market which agents have died and which have written
// their address, and carries out the effects that are due. Once an hour it starts a renewal of
// the machines' certificates.
func (p *Provider) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	now := time.Now()
	p.server.Sweep(now)
	for n, id := range p.agents {
		switch x := p.market.machines[n]; {
		case x == nil || x.Ending:
		case !id.Alive():
			delete(p.agents, n)
			p.log.Info("agent is gone", "machine", n, "pid", id.PID)
			p.stats.Restarted++
			p.perform(p.market.AgentDied(now, n))
		case x.address == "":
			p.market.AgentUp(n, p.readAddress(n))
		}
	}
	p.perform(p.market.Tick(now))
	if now.Sub(p.certsCheckedAt) > time.Hour {
		p.certsCheckedAt = now
		go p.renewCertificates()
	}
	p.timer.Reset(checkPeriod)
}

// agent returns the configuration of a machine's agent.
func (c *Config) agent(x *Machine, t *MachineType) agent.Config {
	a := c.Agent
	a.Worker, a.MachineType, a.Zone, a.Spot = x.Name, x.MachineType, x.Zone, x.Spot
	a.Dir = filepath.Join(c.Dir, machinesDir, x.Name)
	a.Resources = agent.Room{CPUs: t.CPUs, GPUs: t.GPUs, RAM: t.MemoryGB}
	a.LocalGB = t.LocalGB
	if a.Archive != nil {
		own := *a.Archive
		own.Certs = filepath.Join(a.Dir, certsDir)
		a.Archive = &own
	}
	return a
}

// certify issues a certificate for a machine, or renews it before it expires.
func (p *Provider) certify(name, dir string) error {
	if p.cfg.Authority == "" {
		return nil
	}
	a, err := identity.Open(p.cfg.Authority)
	if err != nil {
		return err
	}
	return a.Ensure(identity.Identity{Kind: identity.Agent, Name: name}, filepath.Join(dir, certsDir))
}

// renewCertificates renews the certificates of all machines whose agents run.
func (p *Provider) renewCertificates() {
	p.mu.Lock()
	names := slices.Collect(maps.Keys(p.agents))
	p.mu.Unlock()
	for _, n := range names {
		p.renewCertificate(n)
	}
}

// renewCertificate renews the certificate of a machine, unless the machine is being ended.
func (p *Provider) renewCertificate(name string) {
	p.workOn(name, func() {
		if err := p.certify(name, p.dir(name)); err != nil {
			p.log.Error("a machine's certificate can't be renewed", "machine", name, "error", err)
		}
	})
}

// workOn calls work, which may write to a machine's folder and start its agent, unless the machine
// is being ended. The end of the machine waits until work returns.
func (p *Provider) workOn(name string, work func()) {
	p.mu.Lock()
	x := p.market.machines[name]
	if x == nil || x.Ending || p.closed {
		p.mu.Unlock()
		return
	}
	p.work.byMachine[name]++
	p.mu.Unlock()
	work()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.work.byMachine[name]--; p.work.byMachine[name] == 0 {
		delete(p.work.byMachine, name)
	}
	p.work.ended.Broadcast()
}

// awaitWork waits until nothing works on a machine that is being ended. Nothing begins any more
// then, as the machine is marked as ending.
func (p *Provider) awaitWork(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.work.byMachine[name] > 0 {
		p.work.ended.Wait()
	}
}

// isEnding reports whether a machine is being ended.
func (p *Provider) isEnding(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.market.machines[name]
	return x == nil || x.Ending
}

// errEnding means that a machine is not started because it is being ended.
var errEnding = errors.New("the machine is being ended")

// start starts a machine's agent. The agent's identity is on disk before the agent runs. An end of
// the machine that begins meanwhile waits for the start, and then ends the agent.
func (p *Provider) start(name string) {
	p.workOn(name, func() { p.startAgent(name) })
}

// startAgent does the work of start.
func (p *Provider) startAgent(name string) {
	p.mu.Lock()
	x := p.market.machines[name]
	t := p.market.types[x.MachineType]
	p.mu.Unlock()
	var id proc.ID
	err := fmt.Errorf("machine type %s is no longer offered", x.MachineType)
	if t != nil {
		id, err = p.spawn(x, t)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case errors.Is(err, errEnding):
		return
	case err != nil:
		p.log.Error("an agent can't be started", "machine", name, "error", err)
		p.perform(p.market.AgentDied(time.Now(), name))
		return
	}
	p.agents[name] = id
	if p.closed && p.cfg.SwitchOff { // it started while Stop was ending the others
		endAgent(id)
		return
	}
	p.log.Info("agent started", "machine", name, "pid", id.PID)
}

// spawn writes the configuration of a machine's agent and starts the agent held until its
// identity is recorded.
func (p *Provider) spawn(x *Machine, t *MachineType) (proc.ID, error) {
	dir := p.dir(x.Name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return proc.ID{}, err
	}
	if err := p.certify(x.Name, dir); err != nil {
		return proc.ID{}, err
	}
	if p.isEnding(x.Name) { // certificates are issued one after the other, which may have taken long
		return proc.ID{}, errEnding
	}
	raw, err := yaml.Marshal(p.cfg.agent(x, t))
	if err != nil {
		return proc.ID{}, err
	}
	path := filepath.Join(dir, configFile)
	if err := renameio.WriteFile(path, raw, 0o600); err != nil {
		return proc.ID{}, err
	}
	log, err := os.OpenFile(filepath.Join(dir, logFile), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return proc.ID{}, err
	}
	defer log.Close()
	cmd := exec.Command(p.executable, "agent", "--settings", path)
	cmd.Dir, cmd.Stderr = dir, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	id, err := proc.Start(cmd, proc.Record(filepath.Join(dir, agentFile)))
	if err == nil {
		go cmd.Wait()
	}
	return id, err
}

// end ends a machine with everything on it. Its agent's lease may still be valid, so
// the machine's record is deleted only after the tasks are gone.
func (p *Provider) end(name string) {
	dir := p.dir(name)
	p.awaitWork(name)
	for !p.endRecordedAgent(name) {
		time.Sleep(killTimeout)
	}
	// The watchdog ends the tasks too; either of them may be first.
	for p.endTasks(name) != nil {
		time.Sleep(checkPeriod)
	}
	if exists(dir) {
		p.retainFolder(name, dir)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	delete(p.agents, name)
	p.market.MachineEnded(time.Now(), name)
	if err := p.store(Effects{}, name); err != nil {
		p.fail(err)
		return
	}
	p.stats.Ended++
	p.log.Info("machine ended", "machine", name)
	for _, done := range p.waiting[name] {
		done()
	}
	delete(p.waiting, name)
}

func exists(path string) bool {
	_, err := os.Lstat(path)
	return err == nil
}

// retainFolder moves the folder of an ended machine to the folder of ended machines, without
// its large contents, so that a user can find out why a task failed. Only the last
// maxEndedFolders are retained.
func (p *Provider) retainFolder(name, dir string) {
	for _, large := range []string{"images", "data/copies", "data/partial"} {
		_ = os.RemoveAll(filepath.Join(dir, large))
	}
	root := filepath.Join(p.cfg.Dir, endedDir)
	if err := os.Rename(dir, filepath.Join(root, name)); err != nil {
		_ = os.RemoveAll(dir)
	}
	old, err := os.ReadDir(root)
	for i := 0; err == nil && i < len(old)-maxEndedFolders; i++ {
		_ = os.RemoveAll(filepath.Join(root, old[i].Name()))
	}
}
