package transport

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// Response is a parsed HTTP response.
type Response struct {
	Status     int
	RetryAfter int // seconds; 0: none
	Body       []byte
	Close      bool // the connection can't be reused
}

// ReadResponse reads one response. It skips interim (1xx) responses.
func ReadResponse(br *bufio.Reader) (*Response, error) {
	for {
		r, err := readOneResponse(br)
		if err != nil || r.Status >= http.StatusOK {
			return r, err
		}
	}
}

// readOneResponse reads one response, which may be an interim one.
func readOneResponse(br *bufio.Reader) (*Response, error) {
	r, err := readStatusLine(br)
	if err != nil {
		return nil, err
	}
	length, chunked, err := r.readFields(br)
	if err != nil {
		return nil, err
	}
	if err := r.readBody(br, length, chunked); err != nil {
		return nil, err
	}
	return r, nil
}

func readStatusLine(br *bufio.Reader) (*Response, error) {
	line, err := readLine(br)
	if err != nil {
		return nil, err
	}
	if len(line) < len("HTTP/1.1 200") || !strings.HasPrefix(line, "HTTP/1.") || line[8] != ' ' {
		return nil, fmt.Errorf("bad status line %q", line)
	}
	status, err := strconv.Atoi(line[9:12])
	if err != nil || status < http.StatusContinue {
		return nil, fmt.Errorf("bad status line %q", line)
	}
	return &Response{Status: status, Close: line[7] == '0'}, nil
}

// readFields reads the header fields and returns the length of the body, -1 if the header
// does not give it, and whether the body is chunked.
func (r *Response) readFields(br *bufio.Reader) (length int, chunked bool, err error) {
	length = -1
	total := 0
	for {
		line, err := readLine(br)
		if err != nil {
			return 0, false, err
		}
		if line == "" {
			return length, chunked, nil
		}
		if total += len(line); total > maxHead {
			return 0, false, errors.New("response header too large")
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok {
			return 0, false, errors.New("bad response header")
		}
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "content-length":
			n, err := strconv.Atoi(value)
			if err != nil || n < 0 || n > maxResponseBody {
				return 0, false, errors.New("bad Content-Length")
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
}

// readBody reads the body. A body without a known length ends with the connection.
func (r *Response) readBody(br *bufio.Reader, length int, chunked bool) (err error) {
	switch {
	case r.Status < http.StatusOK || r.Status == http.StatusNoContent || r.Status == http.StatusNotModified:
		return nil
	case chunked:
		r.Body, err = readChunks(br)
		return err
	case length >= 0:
		r.Body = make([]byte, length)
		_, err = io.ReadFull(br, r.Body)
		return err
	}
	r.Close = true
	r.Body, err = io.ReadAll(io.LimitReader(br, maxResponseBody))
	return err
}

// readLine reads a line and returns it without the line end.
func readLine(br *bufio.Reader) (string, error) {
	line, err := br.ReadSlice('\n')
	if err != nil {
		return "", err
	}
	return strings.TrimRight(string(line), "\r\n"), nil
}

// readChunks reads a chunked body and skips its trailers.
func readChunks(br *bufio.Reader) ([]byte, error) {
	var body []byte
	for {
		line, err := readLine(br)
		if err != nil {
			return nil, err
		}
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseInt(strings.TrimSpace(size), 16, 32)
		if err != nil || n < 0 || len(body)+int(n) > maxResponseBody {
			return nil, errors.New("bad chunk")
		}
		read := len(body)
		body = append(body, make([]byte, n)...)
		if _, err := io.ReadFull(br, body[read:]); err != nil {
			return nil, err
		}
		if n == 0 {
			return body, skipTrailers(br)
		}
		line, err = readLine(br)
		if err != nil {
			return nil, err
		}
		if line != "" {
			return nil, errors.New("bad chunk end")
		}
	}
}

// skipTrailers skips the trailers of a chunked body and the empty line after them.
func skipTrailers(br *bufio.Reader) error {
	for {
		if line, err := readLine(br); err != nil || line == "" {
			return err
		}
	}
}
