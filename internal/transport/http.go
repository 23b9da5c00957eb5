// Package transport moves bytes: an evio loop that serves HTTP/1.1 and peer
// links, outgoing connection pools, and nothing that knows what is carried.
package transport

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// Limits of a request.
const (
	maxHead  = 16 << 10
	maxBody  = 64 << 10
	maxReply = 64 << 20
)

// Request is a parsed HTTP request.
type Request struct {
	Method string
	Path   string
	Query  string
	Body   []byte
	Close  bool
}

// StatusError is a request that can't be served, with the status that says so.
// The connection is closed after it, as its framing can't be trusted.
type StatusError struct {
	Status int
	Reason string
}

// Error is the status and the reason.
func (e *StatusError) Error() string { return fmt.Sprintf("%d: %s", e.Status, e.Reason) }

func bad(status int, reason string) *StatusError { return &StatusError{status, reason} }

// ParseRequest reads one request from the front of buf. It returns how many
// bytes it took, or 0 when more bytes are needed. The body aliases buf.
func ParseRequest(buf []byte) (*Request, int, *StatusError) {
	skip := 0
	for skip < len(buf) && skip < 4 && (buf[skip] == '\r' || buf[skip] == '\n') {
		skip++ // a stray line end after an earlier body is tolerated
	}
	b := buf[skip:]
	end := bytes.Index(b, []byte("\r\n\r\n"))
	if end < 0 {
		if len(b) > maxHead {
			return nil, 0, bad(http.StatusRequestHeaderFieldsTooLarge, "header too large")
		}
		if !plausible(b) {
			return nil, 0, bad(http.StatusBadRequest, "not HTTP")
		}
		return nil, 0, nil
	}
	if end > maxHead {
		return nil, 0, bad(http.StatusRequestHeaderFieldsTooLarge, "header too large")
	}
	head := b[:end]
	line := head
	rest := []byte(nil)
	if i := bytes.Index(head, []byte("\r\n")); i >= 0 {
		line, rest = head[:i], head[i+2:]
	}
	r := &Request{}
	f := bytes.Split(line, []byte(" "))
	if len(f) != 3 || !token(f[0]) || len(f[1]) == 0 || f[1][0] != '/' {
		return nil, 0, bad(http.StatusBadRequest, "bad request line")
	}
	for _, c := range f[1] {
		if c <= ' ' || c >= 0x7f {
			return nil, 0, bad(http.StatusBadRequest, "bad request target")
		}
	}
	switch string(f[2]) {
	case "HTTP/1.1":
	case "HTTP/1.0":
		r.Close = true
	default:
		return nil, 0, bad(http.StatusHTTPVersionNotSupported, "version not supported")
	}
	r.Method = string(f[0])
	r.Path, r.Query, _ = strings.Cut(string(f[1]), "?")
	length := -1
	for len(rest) > 0 {
		var h []byte
		if i := bytes.Index(rest, []byte("\r\n")); i >= 0 {
			h, rest = rest[:i], rest[i+2:]
		} else {
			h, rest = rest, nil
		}
		colon := bytes.IndexByte(h, ':')
		if colon <= 0 || !token(h[:colon]) || bytes.IndexByte(h, '\n') >= 0 || bytes.IndexByte(h, '\r') >= 0 {
			return nil, 0, bad(http.StatusBadRequest, "bad header line")
		}
		value := string(bytes.Trim(h[colon+1:], " \t"))
		switch {
		case equalFold(h[:colon], "content-length"):
			n, err := parseLength(value)
			if err != nil || (length >= 0 && n != length) {
				return nil, 0, bad(http.StatusBadRequest, "bad Content-Length")
			}
			if n > maxBody {
				return nil, 0, bad(http.StatusRequestEntityTooLarge, "body too large")
			}
			length = n
		case equalFold(h[:colon], "transfer-encoding"):
			return nil, 0, bad(http.StatusNotImplemented, "Transfer-Encoding not supported, send Content-Length")
		case equalFold(h[:colon], "connection"):
			for _, o := range strings.Split(value, ",") {
				switch strings.ToLower(strings.TrimSpace(o)) {
				case "close":
					r.Close = true
				case "keep-alive":
					if string(f[2]) == "HTTP/1.0" {
						r.Close = false
					}
				}
			}
		case equalFold(h[:colon], "expect"):
			return nil, 0, bad(http.StatusExpectationFailed, "Expect not supported")
		}
	}
	if length < 0 {
		length = 0
	}
	total := end + 4 + length
	if len(b) < total {
		return nil, 0, nil
	}
	r.Body = b[end+4 : total]
	return r, skip + total, nil
}

// plausible tells whether an incomplete head can still become a request.
func plausible(b []byte) bool {
	for i, c := range b {
		if c == ' ' {
			return i > 0
		}
		if !tokenByte(c) || i > 16 {
			return false
		}
	}
	return true
}

func parseLength(s string) (int, error) {
	if s == "" || len(s) > 9 {
		if len(s) > 9 && strings.Trim(s, "0123456789") == "" {
			return maxBody + 1, nil
		}
		return 0, errors.New("bad length")
	}
	for i := 0; i < len(s); i++ {
		if s[i] < '0' || s[i] > '9' {
			return 0, errors.New("bad length")
		}
	}
	return strconv.Atoi(s)
}

func tokenByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}

func token(b []byte) bool {
	for _, c := range b {
		if !tokenByte(c) {
			return false
		}
	}
	return len(b) > 0
}

func equalFold(b []byte, lower string) bool {
	if len(b) != len(lower) {
		return false
	}
	for i := range b {
		c := b[i]
		if c >= 'A' && c <= 'Z' {
			c += 'a' - 'A'
		}
		if c != lower[i] {
			return false
		}
	}
	return true
}

// AppendResponse writes a response with a JSON body.
func AppendResponse(dst []byte, status int, body []byte, retryAfter int, closing bool) []byte {
	return appendResponse(dst, status, "application/json", body, retryAfter, closing)
}

func appendResponse(dst []byte, status int, contentType string, body []byte, retryAfter int, closing bool) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(status), 10)
	dst = append(dst, ' ')
	dst = append(dst, http.StatusText(status)...)
	dst = append(dst, "\r\nContent-Type: "...)
	dst = append(dst, contentType...)
	dst = append(dst, "\r\nContent-Length: "...)
	dst = strconv.AppendInt(dst, int64(len(body)), 10)
	if retryAfter > 0 {
		dst = append(dst, "\r\nRetry-After: "...)
		dst = strconv.AppendInt(dst, int64(retryAfter), 10)
	}
	if closing {
		dst = append(dst, "\r\nConnection: close"...)
	}
	dst = append(dst, "\r\n\r\n"...)
	return append(dst, body...)
}

// AppendRequest writes a request with a JSON body.
func AppendRequest(dst []byte, method, target, host string, body []byte) []byte {
	dst = append(dst, method...)
	dst = append(dst, ' ')
	dst = append(dst, target...)
	dst = append(dst, " HTTP/1.1\r\nHost: "...)
	dst = append(dst, host...)
	if len(body) > 0 || method == http.MethodPost {
		dst = append(dst, "\r\nContent-Type: application/json\r\nContent-Length: "...)
		dst = strconv.AppendInt(dst, int64(len(body)), 10)
	}
	dst = append(dst, "\r\n\r\n"...)
	return append(dst, body...)
}

// Response is a parsed HTTP response.
type Response struct {
	Status     int
	RetryAfter int
	Body       []byte
	Close      bool
}

// ReadResponse reads one response.
func ReadResponse(br *bufio.Reader) (*Response, error) {
	for {
		r, err := readOne(br)
		if err != nil || r.Status >= 200 {
			return r, err
		}
	}
}

func readOne(br *bufio.Reader) (*Response, error) {
	line, err := readLine(br)
	if err != nil {
		return nil, err
	}
	if len(line) < 12 || !strings.HasPrefix(line, "HTTP/1.") || line[8] != ' ' {
		return nil, fmt.Errorf("bad status line %q", line)
	}
	status, err := strconv.Atoi(line[9:12])
	if err != nil || status < 100 {
		return nil, fmt.Errorf("bad status line %q", line)
	}
	r := &Response{Status: status, Close: line[7] == '0'}
	length, chunked := -1, false
	for total := 0; ; {
		h, err := readLine(br)
		if err != nil {
			return nil, err
		}
		if h == "" {
			break
		}
		if total += len(h); total > maxHead {
			return nil, errors.New("response header too large")
		}
		name, value, ok := strings.Cut(h, ":")
		if !ok {
			return nil, errors.New("bad response header")
		}
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "content-length":
			n, err := strconv.Atoi(value)
			if err != nil || n < 0 || n > maxReply {
				return nil, errors.New("bad Content-Length")
			}
			length = n
		case "transfer-encoding":
			chunked = strings.EqualFold(value, "chunked")
		case "connection":
			r.Close = r.Close || strings.EqualFold(value, "close")
		case "retry-after":
			if n, err := strconv.Atoi(value); err == nil && n > 0 {
				r.RetryAfter = n
			}
		}
	}
	switch {
	case status < 200 || status == http.StatusNoContent || status == http.StatusNotModified:
	case chunked:
		if r.Body, err = readChunks(br); err != nil {
			return nil, err
		}
	case length >= 0:
		r.Body = make([]byte, length)
		if _, err := io.ReadFull(br, r.Body); err != nil {
			return nil, err
		}
	default:
		r.Close = true
		if r.Body, err = io.ReadAll(io.LimitReader(br, maxReply)); err != nil {
			return nil, err
		}
	}
	return r, nil
}

func readLine(br *bufio.Reader) (string, error) {
	line, err := br.ReadSlice('\n')
	if err != nil {
		return "", err
	}
	return strings.TrimRight(string(line), "\r\n"), nil
}

func readChunks(br *bufio.Reader) ([]byte, error) {
	var body []byte
	for {
		line, err := readLine(br)
		if err != nil {
			return nil, err
		}
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseInt(strings.TrimSpace(size), 16, 32)
		if err != nil || n < 0 || len(body)+int(n) > maxReply {
			return nil, errors.New("bad chunk")
		}
		at := len(body)
		body = append(body, make([]byte, n)...)
		if _, err := io.ReadFull(br, body[at:]); err != nil {
			return nil, err
		}
		if n == 0 {
			for {
				if line, err = readLine(br); err != nil || line == "" {
					return body, err
				}
			}
		}
		if line, err = readLine(br); err != nil {
			return nil, err
		} else if line != "" {
			return nil, errors.New("bad chunk end")
		}
	}
}
