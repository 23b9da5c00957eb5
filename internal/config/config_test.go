package config

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const settings = `{"node_name":"n0","site":"a","bind":"10.0.0.1:8080","back":"10.0.0.1:8081","unknown":{"x":1},
 "peers":[{"node_name":"n1","site":"b","peer_addr":"10.0.0.2:8081"}],
 "outside":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},
 "facts":{"count":2,"zones":["a","b"],"teams":[{"name":"red","cpus":0,"cpus_max":0,"gpus":8,"gpus_max":50}],
  "objectives":[{"kind":"wait","class":"x","within_s":12,"share":0.9}],
  "workers":{"report_s":3,"lease_s":18,"gang_wait_s":35,"gang_peer_s":4,"cancel_s":48},
  "state":{"rps":250,"write_rps":100,"value_kb":16,"txn_ops":12},"cloud":{"rps":5,"list_lag_s":8},
  "limits":{"cpu":0.072,"ram_mb":125,"max_sockets":1500},"time_bound_ms":5}}`

func TestParseAcceptsSettingsWithUnknownFields(t *testing.T) {
	s, err := Parse([]byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	if s.Node != "n0" || s.Peers[0].Addr != "10.0.0.2:8081" || s.Facts.Teams[0].GPUsMax != 50 || s.Operator != DefaultOperator() {
		t.Fatalf("Parse returned %+v", s)
	}
}

// TestParseNamesTheBadField checks that the error for each bad field names the field.
func TestParseNamesTheBadField(t *testing.T) {
	for field, change := range map[string][2]string{
		"node_name":                {`"node_name":"n0"`, `"node_name":""`},
		"bind":                     {`"bind":"10.0.0.1:8080"`, `"bind":"localhost"`},
		"outside.state":            {`"state":"10.2.0.1:2379"`, `"state":""`},
		"peers[0].node_name":       {`"node_name":"n1"`, `"node_name":"n0"`},
		"peers[0].peer_addr":       {`"peer_addr":"10.0.0.2:8081"`, `"peer_addr":"x"`},
		"facts.teams[0]":           {`"gpus":8`, `"gpus":-8`},
		"facts.workers.lease_s":    {`"lease_s":18`, `"lease_s":0`},
		"facts.workers.cancel_s":   {`"cancel_s":48`, `"cancel_s":10`},
		"facts.state.txn_ops":      {`"txn_ops":12`, `"txn_ops":1`},
		"facts.cloud.rps":          {`"rps":5`, `"rps":-1`},
		"facts.limits.max_sockets": {`"max_sockets":1500`, `"max_sockets":3`},
	} {
		bad := strings.Replace(settings, change[0], change[1], 1)
		if !json.Valid([]byte(bad)) || bad == settings {
			t.Fatalf("%s: the change of this test does not apply to the settings", field)
		}
		if _, err := Parse([]byte(bad)); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: the error is %v, which does not name the field", field, err)
		}
	}
}

func TestOperatorSettings(t *testing.T) {
	o, err := ParseOperator([]byte("probes: 4\npublish_interval: 500ms\n"))
	if err != nil || o.Probes != 4 || o.PublishInterval != 500*time.Millisecond || o.EntryAge != DefaultOperator().EntryAge {
		t.Fatalf("ParseOperator returned %+v, error %v", o, err)
	}
	if o, err := ParseOperator(nil); err != nil || o != DefaultOperator() {
		t.Fatalf("an empty file: ParseOperator returned %+v, error %v", o, err)
	}
	for _, bad := range []string{"prbes: 2", "probes: 0", "publish_interval: 1ms", "log_level: loud", "probes: [", "entry_age_reports: .nan", "begin_within: 0s", "begin_within: -1m"} {
		if _, err := ParseOperator([]byte(bad)); err == nil {
			t.Errorf("ParseOperator accepted %q", bad)
		}
	}
}

func TestLoadFindsTheOperatorsFileBesideTheSettings(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "settings.json")
	write := func(name, text string) {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("settings.json", settings)
	if s, err := Load(path, ""); err != nil || s.Operator != DefaultOperator() {
		t.Fatalf("without an operators' file: the settings are not the defaults; error %v", err)
	}
	write(OperatorFile, "probes: 5\n")
	if s, err := Load(path, ""); err != nil || s.Operator.Probes != 5 {
		t.Fatalf("with an operators' file: its settings are not used; error %v", err)
	}
	if _, err := Load(path, filepath.Join(dir, "missing.yaml")); err == nil {
		t.Fatal("Load accepted the name of an operators' file that does not exist")
	}
}

// TestCancelNeedsRoomForTheLease checks that Parse refuses a cancel_s so close to lease_s that
// controllers could never answer a worker.
func TestCancelNeedsRoomForTheLease(t *testing.T) {
	for cancel, ok := range map[string]bool{"18": false, "18.01": false, "18.5": true} {
		_, err := Parse([]byte(strings.Replace(settings, `"cancel_s":48`, `"cancel_s":`+cancel, 1)))
		if (err == nil) != ok || err != nil && !strings.Contains(err.Error(), "facts.workers.cancel_s") {
			t.Errorf("cancel_s %s: %v", cancel, err)
		}
	}
}
