package transport

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"
)

// requestText returns a request like those that workers send, with a body of 100 bytes.
func requestText() []byte {
	head := "POST /v2/reports?x=1 HTTP/1.1\r\nHost: 127.0.0.1:8080\r\nContent-Type: application/json\r\n" +
		"User-Agent: agent/1\r\nConnection: keep-alive\r\nContent-Length: 100\r\n\r\n"
	return append([]byte(head), bytes.Repeat([]byte("x"), 100)...)
}

// BenchmarkParseRequest parses a complete request with its body.
func BenchmarkParseRequest(b *testing.B) {
	text := requestText()
	b.ReportAllocs()
	for b.Loop() {
		r, n, err := ParseRequest(text)
		if err != nil || n != len(text) || r.Method != http.MethodPost {
			b.Fatal(r, n, err)
		}
	}
}

// BenchmarkReadResponse reads a response with a known length and a chunked one.
func BenchmarkReadResponse(b *testing.B) {
	head := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nDate: Mon, 01 Jan 2026 00:00:00 GMT\r\nConnection: keep-alive\r\n"
	for _, c := range []struct{ name, text string }{
		{"length", head + "Content-Length: 10\r\n\r\n0123456789"},
		{"chunked", head + "Transfer-Encoding: chunked\r\n\r\na\r\n0123456789\r\n0\r\n\r\n"},
	} {
		b.Run(c.name, func(b *testing.B) {
			source := bytes.NewReader(nil)
			reader := bufio.NewReader(source)
			b.ReportAllocs()
			for b.Loop() {
				source.Reset([]byte(c.text))
				reader.Reset(source)
				r, err := ReadResponse(reader)
				if err != nil || len(r.Body) != 10 {
					b.Fatal(r, err)
				}
			}
		})
	}
}
