package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
)

var limits = Limits{Head: 512, Body: 1000}

func TestTake(t *testing.T) {
	const one = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello"
	for name, c := range map[string]struct {
		text string
		code int
		size int
	}{
		"whole":                 {one, 0, len(one)},
		"two":                   {one + one, 0, len(one)},
		"no body":               {"GET / HTTP/1.1\r\nHost: x\r\n\r\n", 0, 27},
		"half a head":           {one[:20], 0, 0},
		"half a body":           {one[:len(one)-2], 0, 0},
		"nothing":               {"", 0, 0},
		"garbage":               {"garbage\r\n\r\n", 400, 0},
		"no host":               {"GET / HTTP/1.1\r\n\r\n", 0, 18},
		"chunked":               {"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 411, 0},
		"a negative length":     {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n", 400, 0},
		"two lengths":           {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!", 400, 0},
		"a body too large":      {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1001\r\n\r\n", 413, 0},
		"a head too large":      {"GET /" + strings.Repeat("a", 600), 431, 0},
		"a whole one too large": {"GET /" + strings.Repeat("a", 600) + " HTTP/1.1\r\n\r\n", 431, 0},
	} {
		_, body, size, err := ParseRequest([]byte(c.text), limits)
		var e *Error
		if errors.As(err, &e); (e == nil) != (c.code == 0) || e != nil && e.Code != c.code || size != c.size {
			t.Errorf("%s: %d bytes, %v", name, size, err)
		}
		if strings.HasSuffix(c.text, "hello") && size > 0 && string(body) != "hello" {
			t.Errorf("%s: body %q", name, body)
		}
	}
}

// Answers are such that a plain client reads them one after the other.
func TestAnswers(t *testing.T) {
	var all bytes.Buffer
	all.Write(EncodeResponse(200, "text/plain", []byte("one"), false))
	all.Write(EncodeResponse(304, "", nil, false))
	all.Write(EncodeResponse(503, "text/plain", []byte("busy"), true))
	r := bufio.NewReader(&all)
	for i, want := range []string{"one", "", "busy"} {
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(res.Body)
		if err != nil || string(body) != want || res.Close != (i == 2) {
			t.Errorf("answer %d: %q, close %t, %v", i, body, res.Close, err)
		}
	}
}

// However a stream is split, the same requests come of it, none larger than the limits.
func FuzzTake(f *testing.F) {
	for _, seed := range []string{"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhelloGET / HTTP/1.1\r\nHost: y\r\n\r\n", "\r\n\r\n\r\n",
		"GET / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"} {
		f.Add([]byte(seed), uint8(3))
	}
	take := func(buf []byte) (out []string) {
		for {
			req, body, size, err := ParseRequest(buf, limits)
			if err != nil {
				return append(out, "error")
			}
			if size == 0 {
				return out
			}
			out = append(out, req.Method+" "+req.URL.String()+" "+string(body))
			buf = buf[size:]
		}
	}
	f.Fuzz(func(t *testing.T, stream []byte, step uint8) {
		whole := take(stream)
		var split []string
		var buf []byte
		for rest := stream; ; {
			n := min(len(rest), int(step)+1)
			buf, rest = append(buf, rest[:n]...), rest[n:]
			failed := false
			for {
				req, body, size, err := ParseRequest(buf, limits)
				if err != nil {
					split, failed = append(split, "error"), true
					break
				}
				if size > limits.Head+len(headEnd)+limits.Body {
					t.Fatalf("a request of %d bytes", size)
				}
				if size == 0 {
					break
				}
				split = append(split, req.Method+" "+req.URL.String()+" "+string(body))
				buf = buf[size:]
			}
			if failed || len(rest) == 0 {
				break
			}
		}
		if strings.Join(whole, "|") != strings.Join(split, "|") {
			t.Fatalf("whole %q, split %q", whole, split)
		}
	})
}
