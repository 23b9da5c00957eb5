package main

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestReach guards against a reach command that overlooks a link which is down, or a controller that
// does not answer. Test servers play a controller whose links are up and two with a link down.
func TestReach(t *testing.T) {
	serve := func(state, via, zones string) string {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprintf(w, `{"node":"n0","reach":{"state":%q,"via":%q,"rows":[{"node":"n0","freshMs":900,"hears":["n1"],"zones":[%s]},{"node":"n1","ageMs":1500,"hears":["n0"]}]}}`, state, via, zones)
		}))
		t.Cleanup(srv.Close)
		return srv.Listener.Addr().String()
	}
	out, err := runCommand("reach", "--address", serve("direct", "", `{"zone":"a","held":7}`))
	if err != nil || !strings.Contains(out, "a 7") || !strings.Contains(out, "n0, 1s ago") {
		t.Errorf("all links up: printed %q, error %v", out, err)
	}
	for _, addr := range []string{serve("relayed", "n1", ""), serve("direct", "", `{"zone":"a","held":0,"lost":true}`)} {
		out, err := runCommand("reach", "--address", addr)
		var code exitCode
		if !errors.As(err, &code) || code.code != exitLinkDown || !strings.Contains(out, "relayed by n1") && !strings.Contains(out, "a 0 lost") {
			t.Errorf("a link is down: printed %q, error %v", out, err)
		}
	}
	if out, err := runCommand("reach", "--output", "json", "--address", serve("direct", "", "")); err != nil || !strings.Contains(out, `"freshMs":900`) {
		t.Errorf("--output json: printed %q, error %v", out, err)
	}
	if _, err := runCommand("reach", "--address", "127.0.0.1:1"); err == nil {
		t.Error("no controller answered, but reach returned no error")
	}
}
