package http1

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
)

// Limits bound one request, in bytes.
type Limits struct {
	Head int
	Body int
}

// Error is a request that can't be parsed, with the status to respond with. The boundaries of later requests on the connection are unknown.
type Error struct {
	Code   int    // HTTP status
	Reason string // for the response's body
	Err    error  // of net/http; may be nil
}

func (e *Error) Error() string { return fmt.Sprintf("%d: %s", e.Code, e.Reason) }

// Unwrap returns the error of net/http, if any.
func (e *Error) Unwrap() error { return e.Err }

var headEnd = []byte("\r\n\r\n")

// ParseRequest parses the first request of a buffer. It returns the request's size in bytes; 0 without an error if the request is not
// complete yet. The body is a copy. An error is an *Error.
func ParseRequest(buf []byte, limits Limits) (request *http.Request, body []byte, size int, err error) {
	i := bytes.Index(buf[:min(len(buf), limits.Head+len(headEnd))], headEnd)
	if i < 0 {
		if len(buf) > limits.Head {
			return nil, nil, 0, &Error{Code: http.StatusRequestHeaderFieldsTooLarge, Reason: fmt.Sprintf("a head has %d bytes at most", limits.Head)}
		}
		return nil, nil, 0, nil
	}
	headSize := i + len(headEnd)
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

// EncodeResponse encodes a response with its Content-Length; a 304 has no body. If isLast is set it announces the connection's end.
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
