package conformance

import (
	"io"
	"net/http"
	"strings"
	"time"
)

// HTTP is a target that listens at an address. A protocol time of a second
// passes in Second.
type HTTP struct {
	Address string
	Second  time.Duration
}

// Begin sends a request over the network.
func (h HTTP) Begin(method, path, body string) func() (int, string) {
	type answer struct {
		status int
		body   string
	}
	got := make(chan answer, 1)
	go func() {
		req, err := http.NewRequest(method, "http://"+h.Address+path, strings.NewReader(body))
		if err != nil {
			got <- answer{0, err.Error()}
			return
		}
		r, err := http.DefaultClient.Do(req)
		if err != nil {
			got <- answer{0, err.Error()}
			return
		}
		defer r.Body.Close()
		b, _ := io.ReadAll(r.Body)
		got <- answer{r.StatusCode, string(b)}
	}()
	return func() (int, string) {
		a := <-got
		return a.status, a.body
	}
}

// Sleep lets time pass.
func (h HTTP) Sleep(d time.Duration) {
	time.Sleep(time.Duration(float64(d) * h.Second.Seconds()))
}
