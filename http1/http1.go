// Package http1 takes whole HTTP/1.1 requests off the front of a buffer, within limits. It holds no state: the same
// bytes give the same requests however they were split on the way.
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

// Error is a request that can't be taken; what follows it on the connection can't be told apart any more.
type Error struct {
	Code   int
	Reason string
}

func (e *Error) Error() string { return fmt.Sprintf("%d: %s", e.Code, e.Reason) }

var headEnd = []byte("\r\n\r\n")

// ParseRequest takes the first request. It returns how many bytes it was; 0 without an error says that it is not whole yet. The
// body is a copy.
func ParseRequest(buf []byte, limits Limits) (req *http.Request, body []byte, size int, err error) {
	head := bytes.Index(buf[:min(len(buf), limits.Head+len(headEnd))], headEnd)
	if head < 0 {
		if len(buf) > limits.Head {
			return nil, nil, 0, &Error{http.StatusRequestHeaderFieldsTooLarge, fmt.Sprintf("a head has %d bytes at most", limits.Head)}
		}
		return nil, nil, 0, nil
	}
	head += len(headEnd)
	req, perr := http.ReadRequest(bufio.NewReader(bytes.NewReader(buf[:head])))
	if perr != nil {
		return nil, nil, 0, &Error{http.StatusBadRequest, "no HTTP/1.1 request: " + perr.Error()}
	}
	if len(req.TransferEncoding) > 0 || req.ContentLength < 0 {
		return nil, nil, 0, &Error{http.StatusLengthRequired, "a body needs its Content-Length"}
	}
	if req.ContentLength > int64(limits.Body) {
		return nil, nil, 0, &Error{http.StatusRequestEntityTooLarge, fmt.Sprintf("a body has %d bytes at most", limits.Body)}
	}
	whole := head + int(req.ContentLength)
	if len(buf) < whole {
		return nil, nil, 0, nil
	}
	return req, bytes.Clone(buf[head:whole]), whole, nil
}

// EncodeResponse writes a response with its length; a 304 has no body. Last says that the connection ends with it.
func EncodeResponse(code int, kind string, body []byte, last bool) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", code, http.StatusText(code))
	if code != http.StatusNotModified {
		fmt.Fprintf(&b, "Content-Type: %s\r\nContent-Length: %d\r\n", kind, len(body))
	}
	if code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests {
		b.WriteString("Retry-After: 1\r\n")
	}
	if last {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	if code != http.StatusNotModified {
		b.Write(body)
	}
	return b.Bytes()
}
