package transport

import (
	"bufio"
	"bytes"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func genRequest(t *rapid.T) (wire []byte, want Request) {
	want.Method = rapid.SampledFrom([]string{"GET", "POST", "DELETE"}).Draw(t, "method")
	want.Path = "/" + rapid.StringMatching(`[a-z0-9/-]{0,30}`).Draw(t, "path")
	want.Query = rapid.StringMatching(`([a-z]=[0-9]{1,5})?`).Draw(t, "query")
	want.Body = []byte(rapid.StringMatching(`[ -~]{0,300}`).Draw(t, "body"))
	want.Close = rapid.Bool().Draw(t, "close")
	target := want.Path
	if want.Query != "" {
		target += "?" + want.Query
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: x\r\n", want.Method, target)
	if rapid.Bool().Draw(t, "extra") {
		fmt.Fprintf(&b, "X-Extra:\t%s\r\n", rapid.StringMatching(`[ -~]{0,40}`).Draw(t, "value"))
	}
	name := rapid.SampledFrom([]string{"Content-Length", "content-length", "CONTENT-LENGTH"}).Draw(t, "name")
	fmt.Fprintf(&b, "%s: %d\r\n", name, len(want.Body))
	if want.Close {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	b.Write(want.Body)
	return b.Bytes(), want
}

func TestParseRequestRoundTripSplitAnywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wire, want := genRequest(t)
		for cut := 0; cut < len(wire); cut++ {
			if r, n, err := ParseRequest(wire[:cut]); r != nil || n != 0 || err != nil {
				t.Fatalf("prefix of %d bytes gave %v, %d, %v", cut, r, n, err)
			}
		}
		r, n, err := ParseRequest(append(append([]byte(nil), wire...), "GET / HT"...))
		if err != nil || n != len(wire) {
			t.Fatalf("parsed %d of %d bytes, error %v", n, len(wire), err)
		}
		if r.Method != want.Method || r.Path != want.Path || r.Query != want.Query || !bytes.Equal(r.Body, want.Body) || r.Close != want.Close {
			t.Fatalf("got %+v, want %+v", r, want)
		}
	})
}

func TestParseRequestRefuses(t *testing.T) {
	for name, c := range map[string]struct {
		wire   string
		status int
	}{
		"no HTTP":            {"\x16\x03\x01 hello", 400},
		"no version":         {"GET /\r\n\r\n", 400},
		"other version":      {"GET / HTTP/3.0\r\n\r\n", 505},
		"absolute target":    {"GET http://x/ HTTP/1.1\r\n\r\n", 400},
		"control in target":  {"GET /\x01 HTTP/1.1\r\n\r\n", 400},
		"two lengths":        {"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
		"negative length":    {"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400},
		"signed length":      {"POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\na", 400},
		"huge length":        {"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", 413},
		"body over 64 KiB":   {"POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", 413},
		"chunked":            {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 501},
		"space before colon": {"GET / HTTP/1.1\r\nHost : x\r\n\r\n", 400},
		"folded header":      {"GET / HTTP/1.1\r\nA: b\r\n c: d\r\n\r\n", 400},
		"bare line feed":     {"GET / HTTP/1.1\r\nA: b\nC: d\r\n\r\n", 400},
		"expectation":        {"POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n", 417},
		"endless header":     {"GET / HTTP/1.1\r\nA: " + strings.Repeat("x", maxHead+8), 431},
	} {
		_, _, err := ParseRequest([]byte(c.wire))
		if err == nil || err.Status != c.status {
			t.Errorf("%s: got %v, want status %d", name, err, c.status)
		}
	}
}

func FuzzParseRequest(f *testing.F) {
	f.Add([]byte("POST /v2/runs HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}"))
	f.Add([]byte("\r\nGET /up HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"))
	f.Fuzz(func(t *testing.T, wire []byte) {
		r, n, err := ParseRequest(wire)
		if n < 0 || n > len(wire) || (r != nil) != (n > 0) || (err != nil && r != nil) {
			t.Fatalf("inconsistent result: %v %d %v", r, n, err)
		}
		if r != nil && len(r.Body) > maxBody {
			t.Fatalf("a body of %d bytes was accepted", len(r.Body))
		}
	})
}

func TestReadResponse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := []byte(rapid.StringMatching(`[ -~\n]{0,400}`).Draw(t, "body"))
		status := rapid.SampledFrom([]int{200, 201, 404, 409, 421, 429, 503}).Draw(t, "status")
		retry := rapid.IntRange(0, 30).Draw(t, "retry")
		var wire []byte
		switch rapid.IntRange(0, 2).Draw(t, "framing") {
		case 0:
			wire = AppendResponse(nil, status, body, retry, false)
		case 1:
			wire = append(wire, fmt.Sprintf("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 %d X\r\nTransfer-Encoding: chunked\r\n\r\n", status)...)
			for rest := body; len(rest) > 0; {
				n := rapid.IntRange(1, len(rest)).Draw(t, "chunk")
				wire = append(wire, fmt.Sprintf("%x;e=1\r\n%s\r\n", n, rest[:n])...)
				rest = rest[n:]
			}
			wire = append(wire, "0\r\n\r\n"...)
			retry = 0
		case 2:
			wire = append(wire, fmt.Sprintf("HTTP/1.1 %d X\r\n\r\n%s", status, body)...)
			retry = 0
		}
		r, err := ReadResponse(bufio.NewReader(bytes.NewReader(wire)))
		if err != nil || r.Status != status || !bytes.Equal(r.Body, body) || r.RetryAfter != retry {
			t.Fatalf("got %+v, %v from %q", r, err, wire)
		}
	})
}

func TestReadResponseRefusesBrokenFraming(t *testing.T) {
	for _, wire := range []string{
		"HTTP/2 200\r\n\r\n", "HTTP/1.1 2x0 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n",
	} {
		if r, err := ReadResponse(bufio.NewReader(strings.NewReader(wire))); err == nil {
			t.Errorf("%q gave %+v", wire, r)
		}
	}
}
