package http1

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
)

// Limits are the maximum sizes of a request, in bytes unless stated otherwise.
type Limits struct {
	Head   int // request line and headers
	Body   int
	Fields int // number of header fields, which take more memory than their bytes; 0: unlimited
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

// lineEnd ends each line of a head.
var lineEnd = []byte("\n")

// linesBesideFields is the number of lines of a head that are not header fields: the request line and the empty line.
const linesBesideFields = 2

// ParseRequest parses the first request in a buffer. It returns the request, its body and its size in bytes. The size is 0 if the request
// is not complete yet. The body is a slice of the buffer and only valid as long as the buffer is not modified. Any error is an *Error.
func ParseRequest(buf []byte, limits Limits) (request *http.Request, body []byte, size int, err error) {
	var p Parser
	return p.ParseRequest(buf, limits)
}

// Parser parses requests that arrive in pieces, without reading again what earlier pieces have completed. The zero value is ready to
// use.
type Parser struct {
	searched int           // number of bytes that contain no end of a head
	request  *http.Request // of the complete head; nil until the head is complete
	headSize int
}

// ParseRequest does the same as the function ParseRequest. While a request is incomplete, the next call must be given the same bytes
// with more bytes appended, and the same limits.
func (p *Parser) ParseRequest(buf []byte, limits Limits) (request *http.Request, body []byte, size int, err error) {
	if p.request == nil {
		complete, err := p.parseHead(buf, limits)
		if err != nil || !complete {
			return nil, nil, 0, err
		}
	}
	size = p.headSize + int(p.request.ContentLength)
	if len(buf) < size {
		return nil, nil, 0, nil
	}
	request = p.request
	body = buf[p.headSize:size]
	*p = Parser{}
	return request, body, size, nil
}

// parseHead parses the head of the request and reports whether it is complete.
func (p *Parser) parseHead(buf []byte, limits Limits) (complete bool, err error) {
	searchable := buf[:min(len(buf), limits.Head+len(headTerminator))]
	from := max(0, p.searched-len(headTerminator)+1)
	i := bytes.Index(searchable[from:], headTerminator)
	if i < 0 {
		if len(buf) > limits.Head {
			return false, &Error{Code: http.StatusRequestHeaderFieldsTooLarge, Reason: fmt.Sprintf("a head has %d bytes at most", limits.Head)}
		}
		p.searched = len(searchable)
		return false, nil
	}
	headSize := from + i + len(headTerminator)
	if limits.Fields > 0 && bytes.Count(buf[:headSize], lineEnd)-linesBesideFields > limits.Fields {
		return false, &Error{Code: http.StatusRequestHeaderFieldsTooLarge, Reason: fmt.Sprintf("a head has %d fields at most", limits.Fields)}
	}
	request, parseErr := http.ReadRequest(bufio.NewReader(bytes.NewReader(buf[:headSize])))
	if parseErr != nil {
		return false, &Error{Code: http.StatusBadRequest, Reason: "not a valid HTTP/1.1 request: " + parseErr.Error(), Err: parseErr}
	}
	if len(request.TransferEncoding) > 0 || request.ContentLength < 0 {
		return false, &Error{Code: http.StatusLengthRequired, Reason: "a body needs its Content-Length"}
	}
	if request.ContentLength > int64(limits.Body) {
		return false, &Error{Code: http.StatusRequestEntityTooLarge, Reason: fmt.Sprintf("a body has %d bytes at most", limits.Body)}
	}
	p.request = request
	p.headSize = headSize
	return true, nil
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
