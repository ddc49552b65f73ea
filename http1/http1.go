package http1

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
)

// Limits are the maximum sizes of a request in bytes.
type Limits struct {
	Head int // request line and headers
	Body int
}

// Error is the error for a request that cannot be parsed, with the response to it. The boundaries of later requests on the
// connection are then unknown.
type Error struct {
	Code   int    // HTTP status of the response
	Reason string // body of the response
	Err    error  // underlying error of net/http; may be nil
}

func (e *Error) Error() string { return fmt.Sprintf("%d: %s", e.Code, e.Reason) }

// Unwrap returns the underlying error of net/http, or nil.
func (e *Error) Unwrap() error { return e.Err }

// headTerminator ends the headers of a request.
var headTerminator = []byte("\r\n\r\n")

// ParseRequest parses the first request in a buffer. It returns the request, a copy of its body and its size in bytes. The size
// is 0 if the request is not complete yet. Any error is an *Error.
func ParseRequest(buf []byte, limits Limits) (request *http.Request, body []byte, size int, err error) {
	i := bytes.Index(buf[:min(len(buf), limits.Head+len(headTerminator))], headTerminator)
	if i < 0 {
		if len(buf) > limits.Head {
			return nil, nil, 0, &Error{Code: http.StatusRequestHeaderFieldsTooLarge, Reason: fmt.Sprintf("a head has %d bytes at most", limits.Head)}
		}
		return nil, nil, 0, nil
	}
	headSize := i + len(headTerminator)
	request, parseErr := http.ReadRequest(bufio.NewReader(bytes.NewReader(buf[:headSize])))
	if parseErr != nil {
		return nil, nil, 0, &Error{Code: http.StatusBadRequest, Reason: "no HTTP/1.1 request: " + parseErr.Error(), Err: parseErr}
	}
	if len(request.TransferEncoding) > 0 || request.ContentLength < 0 {
		return nil, nil, 0, &Error{Code: http.StatusLengthRequired, Reason: "a body needs its Content-Length"}
	}
	if request.ContentLength > int64(limits.Body) {
		return nil, nil, 0, &Error{Code: http.StatusRequestEntityTooLarge, Reason: fmt.Sprintf("a body has %d bytes at most", limits.Body)}
	}
	size = headSize + int(request.ContentLength)
	if len(buf) < size {
		return nil, nil, 0, nil
	}
	return request, bytes.Clone(buf[headSize:size]), size, nil
}

// EncodeResponse encodes a response with its Content-Length. A response with status 304 has no body, and one with status 429 or
// 503 has Retry-After: 1. If isLast is set, the response has Connection: close.
func EncodeResponse(code int, contentType string, body []byte, isLast bool) []byte {
	hasBody := code != http.StatusNotModified
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", code, http.StatusText(code))
	if hasBody {
		fmt.Fprintf(&b, "Content-Type: %s\r\nContent-Length: %d\r\n", contentType, len(body))
	}
	if code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests {
		b.WriteString("Retry-After: 1\r\n")
	}
	if isLast {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	if hasBody {
		b.Write(body)
	}
	return b.Bytes()
}
