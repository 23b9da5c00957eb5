// Package transport sends and receives bytes. It has a server with an evio event loop for
// HTTP/1.1 and peer links, and pools of outgoing connections. It does not interpret the
// requests and messages that it carries.
package transport

import (
	"net/http"
	"strconv"
)

// AppendResponse appends a response with a JSON body to dst. retryAfter is in seconds; 0
// means no Retry-After field. closing announces that the connection is closed after the
// response.
func AppendResponse(dst []byte, status int, body []byte, retryAfter int, closing bool) []byte {
	return appendResponse(dst, status, "application/json", body, retryAfter, closing)
}

// appendResponse is AppendResponse for a body of any content type.
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

// AppendRequest appends a request with a JSON body to dst.
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
