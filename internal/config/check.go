package config

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"time"

	"silvergate/internal/fencing"
)

// Smallest values of limits with which the core can work.
const (
	minTxnOps     = 4
	minMaxSockets = 64
)

// check returns an error that names the first field of the platform's settings that is not
// valid.
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
	if !(value > 0) || math.IsInf(value, 0) { // also refuses NaN
		return fmt.Errorf("%s: must be a positive number", field)
	}
	return nil
}

// checkFields checks each field that is an address or must be positive, independently of the
// others.
func (s *Settings) checkFields() error {
	facts := &s.Facts
	errs := []error{
		checkAddress("bind", s.Listen),
		checkAddress("back", s.PeerListen),
		checkAddress("outside.cloud", s.Services.Cloud),
		checkAddress("outside.state", s.Services.State),
		checkPositive("facts.workers.report_s", facts.Workers.Heartbeat),
		checkPositive("facts.workers.lease_s", facts.Workers.Lease),
		checkPositive("facts.workers.cancel_s", facts.Workers.Cancel),
		checkPositive("facts.workers.gang_wait_s", facts.Workers.GangWait),
		checkPositive("facts.workers.gang_peer_s", facts.Workers.GangPeer),
		checkPositive("facts.state.rps", facts.State.RPS),
		checkPositive("facts.state.write_rps", facts.State.WriteRPS),
		checkPositive("facts.state.value_kb", facts.State.ValueKB),
		checkPositive("facts.cloud.rps", facts.Cloud.RPS),
		checkPositive("facts.cloud.list_lag_s", facts.Cloud.ListLag),
		checkPositive("facts.limits.cpu", facts.Limits.CPU),
		checkPositive("facts.limits.ram_mb", facts.Limits.RAMMB),
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
	// With a horizon of 0 the controller could never answer a worker: even the first
	// response after a proof that it knows of all cancellations would be valid for too long.
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
	for i, peer := range s.Peers {
		if peer.Node == "" || seen[peer.Node] {
			return fmt.Errorf("peers[%d].node_name: missing or repeated", i)
		}
		seen[peer.Node] = true
		if err := checkAddress(fmt.Sprintf("peers[%d].peer_addr", i), peer.Addr); err != nil {
			return err
		}
	}
	return nil
}

func (f *Facts) checkTeams() error {
	seen := map[string]bool{}
	for i, team := range f.Teams {
		if team.Name == "" || seen[team.Name] {
			return fmt.Errorf("facts.teams[%d].name: missing or repeated", i)
		}
		seen[team.Name] = true
		for _, amount := range []float64{team.CPUs, team.CPUsMax, team.GPUs, team.GPUsMax} {
			if !(amount >= 0) || math.IsInf(amount, 0) {
				return fmt.Errorf("facts.teams[%d]: guarantee and limit must not be negative", i)
			}
		}
	}
	return nil
}
