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

var limits = Limits{Head: 512, Body: 1000, Fields: 10}

func TestParseRequest(t *testing.T) {
	const one = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello"
	for name, c := range map[string]struct {
		text string
		code int
		size int
	}{
		"complete":                {one, 0, len(one)},
		"two requests":            {one + one, 0, len(one)},
		"no body":                 {"GET / HTTP/1.1\r\nHost: x\r\n\r\n", 0, 27},
		"partial head":            {one[:20], 0, 0},
		"partial body":            {one[:len(one)-2], 0, 0},
		"empty buffer":            {"", 0, 0},
		"garbage":                 {"garbage\r\n\r\n", 400, 0},
		"no host":                 {"GET / HTTP/1.1\r\n\r\n", 0, 18},
		"chunked":                 {"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 411, 0},
		"negative length":         {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n", 400, 0},
		"two lengths":             {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!", 400, 0},
		"body too large":          {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1001\r\n\r\n", 413, 0},
		"head too large":          {"GET /" + strings.Repeat("a", 600), 431, 0},
		"ten fields":              {"GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:b\r\n", 9) + "\r\n", 0, 27 + 9*5},
		"too many fields":         {"GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:b\r\n", 10) + "\r\n", 431, 0},
		"too many bare lines":     {"GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:b\n", 9) + "a:b\r\n\r\n", 431, 0},
		"complete head too large": {"GET /" + strings.Repeat("a", 600) + " HTTP/1.1\r\n\r\n", 431, 0},
	} {
		t.Run(name, func(t *testing.T) {
			_, body, size, err := ParseRequest([]byte(c.text), limits)
			code := 0
			if parseErr := (*Error)(nil); errors.As(err, &parseErr) {
				code = parseErr.Code
			} else if err != nil {
				t.Errorf("error %v is not an *Error", err)
			}
			if code != c.code || size != c.size {
				t.Errorf("size is %d, error %v; want size %d and status %d", size, err, c.size, c.code)
			}
			if strings.HasSuffix(c.text, "hello") && size > 0 && string(body) != "hello" {
				t.Errorf("body is %q, want hello", body)
			}
		})
	}
}

// A client of net/http can read encoded responses one after the other from a connection.
func TestEncodeResponse(t *testing.T) {
	var all bytes.Buffer
	all.Write(EncodeResponse(200, "text/plain", []byte("one"), false))
	all.Write(EncodeResponse(304, "", nil, false))
	all.Write(EncodeResponse(503, "text/plain", []byte("busy"), true))
	r := bufio.NewReader(&all)
	for i, want := range []string{"one", "", "busy"} {
		response, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		if err != nil || string(body) != want || response.Close != (i == 2) {
			t.Errorf("response %d: body %q, close %t, error %v; want body %q, close only for the last", i, body, response.Close, err, want)
		}
	}
}

// A stream gives the same requests in whatever pieces it arrives, and no request is larger than the limits.
func FuzzParseRequest(f *testing.F) {
	for _, seed := range []string{"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhelloGET / HTTP/1.1\r\nHost: y\r\n\r\n", "\r\n\r\n\r\n",
		"GET / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"} {
		f.Add([]byte(seed), uint8(3))
	}
	parseAll := func(buf []byte) (out []string) {
		for {
			request, body, size, err := ParseRequest(buf, limits)
			if err != nil {
				return append(out, "error")
			}
			if size == 0 {
				return out
			}
			out = append(out, request.Method+" "+request.URL.String()+" "+string(body))
			buf = buf[size:]
		}
	}
	f.Fuzz(func(t *testing.T, stream []byte, step uint8) {
		complete := parseAll(stream)
		var split []string
		var buf []byte
		var parser Parser
		for rest := stream; ; {
			n := min(len(rest), int(step)+1)
			buf, rest = append(buf, rest[:n]...), rest[n:]
			failed := false
			for {
				request, body, size, err := parser.ParseRequest(buf, limits)
				if err != nil {
					split, failed = append(split, "error"), true
					break
				}
				if size > limits.Head+len(headTerminator)+limits.Body {
					t.Fatalf("request has %d bytes, want at most the limits", size)
				}
				if size == 0 {
					break
				}
				split = append(split, request.Method+" "+request.URL.String()+" "+string(body))
				buf = buf[size:]
			}
			if failed || len(rest) == 0 {
				break
			}
		}
		if strings.Join(complete, "|") != strings.Join(split, "|") {
			t.Fatalf("requests of the split stream are %q, want those of the complete stream, %q", split, complete)
		}
	})
}
