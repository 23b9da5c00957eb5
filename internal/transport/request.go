package transport

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// Limits of requests and responses, in bytes.
const (
	maxHead         = 16 << 10 // start line and header fields of a request or a response
	maxBody         = 64 << 10 // body of a request
	maxResponseBody = 64 << 20
)

// lineEnd ends each line of a request's head, and headEnd ends the head.
var (
	lineEnd = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
)

// Request is a parsed HTTP request.
type Request struct {
	Method string
	Path   string
	Query  string // without the question mark
	Body   []byte // aliases the parsed buffer
	Close  bool   // the connection is to be closed after the response
}

// StatusError is the error for a request that can't be served, with the HTTP status to
// answer. The connection is closed after the answer because its framing can't be trusted.
type StatusError struct {
	Status int
	Reason string
}

// Error returns the status and the reason.
func (e *StatusError) Error() string { return fmt.Sprintf("%d: %s", e.Status, e.Reason) }

func statusError(status int, reason string) *StatusError {
	return &StatusError{Status: status, Reason: reason}
}

// ParseRequest parses the first request in buf. It returns the number of bytes that the
// request takes, or 0 if more bytes are needed. The request's body aliases buf.
func ParseRequest(buf []byte) (*Request, int, *StatusError) {
	skipped := strayLineEnds(buf)
	b := buf[skipped:]
	end, err := findHeadEnd(b)
	if end < 0 || err != nil {
		return nil, 0, err
	}
	line, fields := cutLine(b[:end])
	r := &Request{}
	http10, err := r.parseRequestLine(line)
	if err != nil {
		return nil, 0, err
	}
	length, err := r.parseFields(fields, http10)
	if err != nil {
		return nil, 0, err
	}
	bodyStart := end + len(headEnd)
	total := bodyStart + length
	if len(b) < total {
		return nil, 0, nil
	}
	r.Body = b[bodyStart:total]
	return r, skipped + total, nil
}

// maxStrayLineEnds is how many bytes of line ends are skipped before a request, after the
// body of an earlier one.
const maxStrayLineEnds = 4

// strayLineEnds returns the number of bytes of line ends before a request.
func strayLineEnds(buf []byte) int {
	n := 0
	for n < len(buf) && n < maxStrayLineEnds && (buf[n] == '\r' || buf[n] == '\n') {
		n++
	}
	return n
}

// findHeadEnd returns the length of the head, or -1 if more bytes are needed.
func findHeadEnd(b []byte) (int, *StatusError) {
	end := bytes.Index(b, headEnd)
	switch {
	case end > maxHead, end < 0 && len(b) > maxHead:
		return -1, statusError(http.StatusRequestHeaderFieldsTooLarge, "header too large")
	case end < 0 && !couldBecomeRequest(b):
		return -1, statusError(http.StatusBadRequest, "not HTTP")
	}
	return end, nil
}

// cutLine splits b after its first line.
func cutLine(b []byte) (line, rest []byte) {
	if i := bytes.Index(b, lineEnd); i >= 0 {
		return b[:i], b[i+len(lineEnd):]
	}
	return b, nil
}

// parseRequestLine parses the method, the target and the version. http10 reports whether
// the version is HTTP/1.0, whose connections are closed unless the client asks otherwise.
func (r *Request) parseRequestLine(line []byte) (http10 bool, err *StatusError) {
	parts := bytes.Split(line, []byte(" "))
	if len(parts) != 3 {
		return false, statusError(http.StatusBadRequest, "bad request line")
	}
	method, target, version := parts[0], parts[1], parts[2]
	if !isToken(method) || len(target) == 0 || target[0] != '/' {
		return false, statusError(http.StatusBadRequest, "bad request line")
	}
	for _, c := range target {
		if c <= ' ' || c >= 0x7f {
			return false, statusError(http.StatusBadRequest, "bad request target")
		}
	}
	switch string(version) {
	case "HTTP/1.1":
	case "HTTP/1.0":
		http10 = true
		r.Close = true
	default:
		return false, statusError(http.StatusHTTPVersionNotSupported, "version not supported")
	}
	r.Method = string(method)
	r.Path, r.Query, _ = strings.Cut(string(target), "?")
	return http10, nil
}

// parseFields parses the header fields and returns the length of the body.
func (r *Request) parseFields(fields []byte, http10 bool) (int, *StatusError) {
	length := -1
	for len(fields) > 0 {
		var line []byte
		line, fields = cutLine(fields)
		colon := bytes.IndexByte(line, ':')
		if colon <= 0 || !isToken(line[:colon]) || bytes.IndexByte(line, '\n') >= 0 || bytes.IndexByte(line, '\r') >= 0 {
			return 0, statusError(http.StatusBadRequest, "bad header line")
		}
		name, value := line[:colon], string(bytes.Trim(line[colon+1:], " \t"))
		switch {
		case equalFold(name, "content-length"):
			n, err := parseContentLength(value, length)
			if err != nil {
				return 0, err
			}
			length = n
		case equalFold(name, "transfer-encoding"):
			return 0, statusError(http.StatusNotImplemented, "Transfer-Encoding not supported, send Content-Length")
		case equalFold(name, "connection"):
			r.parseConnection(value, http10)
		case equalFold(name, "expect"):
			return 0, statusError(http.StatusExpectationFailed, "Expect not supported")
		}
	}
	return max(0, length), nil
}

// parseContentLength parses the value of a Content-Length field. earlier is the length from
// an earlier such field, or -1 if there was none; the two must be equal.
func parseContentLength(value string, earlier int) (int, *StatusError) {
	n, err := parseLength(value)
	if err != nil || (earlier >= 0 && n != earlier) {
		return 0, statusError(http.StatusBadRequest, "bad Content-Length")
	}
	if n > maxBody {
		return 0, statusError(http.StatusRequestEntityTooLarge, "body too large")
	}
	return n, nil
}

// parseConnection parses the options of a Connection field.
func (r *Request) parseConnection(value string, http10 bool) {
	for _, option := range strings.Split(value, ",") {
		switch strings.ToLower(strings.TrimSpace(option)) {
		case "close":
			r.Close = true
		case "keep-alive":
			if http10 {
				r.Close = false
			}
		}
	}
}

// maxMethod is the length of the longest method, in bytes, that couldBecomeRequest accepts.
const maxMethod = 16

// couldBecomeRequest reports whether an incomplete head can still become a request.
func couldBecomeRequest(b []byte) bool {
	for i, c := range b {
		if c == ' ' {
			return i > 0
		}
		if !isTokenByte(c) || i > maxMethod {
			return false
		}
	}
	return true
}

// maxLengthDigits is the largest number of digits in a Content-Length that parseLength
// converts. A length with more digits is too large in any case.
const maxLengthDigits = 9

// parseLength parses a length in decimal digits. For more than maxLengthDigits digits it
// returns a length that is too large for a body.
func parseLength(s string) (int, error) {
	if s == "" || len(s) > maxLengthDigits {
		if len(s) > maxLengthDigits && strings.Trim(s, "0123456789") == "" {
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

// isTokenByte reports whether c may be in a token of RFC 9110.
func isTokenByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}

// isToken reports whether b is a token of RFC 9110.
func isToken(b []byte) bool {
	for _, c := range b {
		if !isTokenByte(c) {
			return false
		}
	}
	return len(b) > 0
}

// equalFold reports whether b equals lower, which is in lower case, without regard to the
// case of ASCII letters.
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
