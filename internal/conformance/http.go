package conformance

import (
	"io"
	"net/http"
	"strings"
	"time"
)

// HTTP is a target that listens at an address. Second is the real time that a second of
// protocol time takes.
type HTTP struct {
	Address string
	Second  time.Duration
}

// Send sends a request over HTTP.
func (h HTTP) Send(method, path, body string) func() (int, string) {
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
		responseBody, _ := io.ReadAll(r.Body)
		got <- answer{r.StatusCode, string(responseBody)}
	}()
	return func() (int, string) {
		a := <-got
		return a.status, a.body
	}
}

// Sleep waits for a duration of protocol time.
func (h HTTP) Sleep(d time.Duration) {
	time.Sleep(time.Duration(float64(d) * h.Second.Seconds()))
}
