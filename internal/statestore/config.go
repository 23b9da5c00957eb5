package statestore

import "errors"

// Config holds the settings of a state service.
type Config struct {
	// Listen is the address to listen on, an IP address with a port.
	Listen string `yaml:"listen"`
	// Dir is the folder of the store's file.
	Dir string `yaml:"dir"`
	// Limits are the service's limits.
	Limits Limits `yaml:"limits"`
	// BackupDir is the folder that backups are written to; default: backups in Dir.
	BackupDir string `yaml:"backup_dir"`
	// MaxSockets is the maximum number of connections.
	MaxSockets int `yaml:"max_sockets"`
	// Metrics enables GET /metrics.
	Metrics bool `yaml:"metrics"`
}

// DefaultConfig returns the settings that apply to fields that a file does not set.
func DefaultConfig() Config {
	return Config{
		Listen:     "127.0.0.1:2379",
		Dir:        "state",
		MaxSockets: 1024,
		Limits:     Limits{RPS: 1000, WriteRPS: 500, ValueKB: 16, TxnOps: 24},
	}
}

// Check returns an error that names the first field with an invalid value, or nil.
func (c *Config) Check() error {
	if c.Dir == "" {
		return errors.New("dir: missing")
	}
	if c.MaxSockets < 8 {
		return errors.New("max_sockets: must be at least 8")
	}
	return c.Limits.Check()
}

// Limits are the service's limits. The controllers' settings contain them as well.
type Limits struct {
	// RPS is the maximum number of requests per second, WriteRPS that of puts and
	// deletes per second. Both allow bursts of one second's worth.
	RPS      float64 `yaml:"rps"`
	WriteRPS float64 `yaml:"write_rps"`
	// ValueKB is the maximum size of a value in KiB.
	ValueKB float64 `yaml:"value_kb"`
	// TxnOps is the maximum number of puts and deletes in a transaction; four
	// times as many comparisons are allowed.
	TxnOps int `yaml:"txn_ops"`
}

// comparesPerOp is how many comparisons a transaction may have for each of Limits.TxnOps.
const comparesPerOp = 4

// Check returns an error that names the first field with an invalid value, or nil.
func (l *Limits) Check() error {
	switch {
	case !(l.RPS >= 1 && l.RPS <= 1e9):
		return errors.New("limits.rps: must be at least 1")
	case !(l.WriteRPS >= 1 && l.WriteRPS <= 1e9):
		return errors.New("limits.write_rps: must be at least 1")
	case !(l.ValueKB > 0 && l.ValueKB <= 64):
		return errors.New("limits.value_kb: must be above 0 and at most 64, the size of a request")
	case l.TxnOps < 1 || float64(l.TxnOps) > l.WriteRPS:
		return errors.New("limits.txn_ops: must be at least 1 and at most write_rps, or no such transaction would ever pass")
	}
	return nil
}
