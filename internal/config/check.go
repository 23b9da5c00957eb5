package config

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"time"

	"silvergate/internal/fencing"
)

// Least values of limits that the core can work with.
const (
	minTxnOps     = 4
	minMaxSockets = 64
)

// check returns the first fault of the platform's settings, and names its field.
func (s *Settings) check() error {
	if s.Node == "" {
		return errors.New("node_name: missing")
	}
	if err := s.checkFields(); err != nil {
		return err
	}
	if err := s.Facts.checkLimits(); err != nil {
		return err
	}
	if err := s.checkPeers(); err != nil {
		return err
	}
	return s.Facts.checkTeams()
}

func checkAddress(field, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return fmt.Errorf("%s: %q is not an IP address with a port", field, value)
	}
	return nil
}

func checkPositive(field string, value float64) error {
	if !(value > 0) || math.IsInf(value, 0) { // not a number is refused, too
		return fmt.Errorf("%s: must be a positive number", field)
	}
	return nil
}

// checkFields checks the fields that are addresses or must be positive, by themselves.
func (s *Settings) checkFields() error {
	f := &s.Facts
	errs := []error{
		checkAddress("bind", s.Listen),
		checkAddress("back", s.Back),
		checkAddress("outside.cloud", s.Services.Cloud),
		checkAddress("outside.state", s.Services.State),
		checkPositive("facts.workers.report_s", f.Workers.Report),
		checkPositive("facts.workers.lease_s", f.Workers.Lease),
		checkPositive("facts.workers.cancel_s", f.Workers.Cancel),
		checkPositive("facts.workers.gang_wait_s", f.Workers.GangWait),
		checkPositive("facts.workers.gang_peer_s", f.Workers.GangPeer),
		checkPositive("facts.state.rps", f.State.RPS),
		checkPositive("facts.state.write_rps", f.State.WriteRPS),
		checkPositive("facts.state.value_kb", f.State.ValueKB),
		checkPositive("facts.cloud.rps", f.Cloud.RPS),
		checkPositive("facts.cloud.list_lag_s", f.Cloud.ListLag),
		checkPositive("facts.limits.cpu", f.Limits.CPU),
		checkPositive("facts.limits.ram_mb", f.Limits.RAMMB),
	}
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// checkLimits checks the limits that depend on one another, or are counts.
func (f *Facts) checkLimits() error {
	if f.State.TxnOps < minTxnOps {
		return fmt.Errorf("facts.state.txn_ops: must be at least %d", minTxnOps)
	}
	// No worker could ever be answered: the first response after a proof would be valid
	// for too long.
	cancel := time.Duration(f.Workers.Cancel * float64(time.Second))
	lease := time.Duration(f.Workers.Lease * float64(time.Second))
	if fencing.CancelHorizon(cancel, lease) == 0 {
		return errors.New("facts.workers.cancel_s: must be above lease_s, by an eight-hundredth of itself at least")
	}
	if f.Limits.MaxSockets < minMaxSockets {
		return fmt.Errorf("facts.limits.max_sockets: must be at least %d", minMaxSockets)
	}
	return nil
}

func (s *Settings) checkPeers() error {
	seen := map[string]bool{s.Node: true}
	for i, p := range s.Peers {
		if p.Node == "" || seen[p.Node] {
			return fmt.Errorf("peers[%d].node_name: missing or repeated", i)
		}
		seen[p.Node] = true
		if err := checkAddress(fmt.Sprintf("peers[%d].peer_addr", i), p.Addr); err != nil {
			return err
		}
	}
	return nil
}

func (f *Facts) checkTeams() error {
	seen := map[string]bool{}
	for i, t := range f.Teams {
		if t.Name == "" || seen[t.Name] {
			return fmt.Errorf("facts.teams[%d].name: missing or repeated", i)
		}
		seen[t.Name] = true
		for _, amount := range []float64{t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax} {
			if !(amount >= 0) || math.IsInf(amount, 0) {
				return fmt.Errorf("facts.teams[%d]: guarantee and limit must not be negative", i)
			}
		}
	}
	return nil
}
