package resp

import (
	"bytes"
	"errors"
	"strings"
	"testing"
)

var limits = Limits{Bytes: 200, Words: 8}

func TestParse(t *testing.T) {
	const ping = "*1\r\n$4\r\nPING\r\n"
	for name, c := range map[string]struct {
		text    string
		size    int
		invalid bool
	}{
		"complete":                  {ping, len(ping), false},
		"two messages":              {ping + ping, len(ping), false},
		"an empty word":             {"*2\r\n$0\r\n\r\n$1\r\na\r\n", 17, false},
		"empty buffer":              {"", 0, false},
		"part of a count":           {"*1", 0, false},
		"part of a string":          {"*1\r\n$4\r\nPI", 0, false},
		"all but the end":           {"*1\r\n$4\r\nPING\r", 0, false},
		"HTTP":                      {"GET / HTTP/1.1\r\n", 0, true},
		"an inline command":         {"PING\r\n", 0, true},
		"an array without words":    {"*0\r\n", 0, true},
		"a null array":              {"*-1\r\n", 0, true},
		"too many words":            {"*9\r\n", 0, true},
		"a nested array":            {"*1\r\n*1\r\n", 0, true},
		"another type":              {"*1\r\n:1\r\n", 0, true},
		"a null string":             {"*1\r\n$-1\r\n", 0, true},
		"a string too long":         {"*1\r\n$201\r\n", 0, true},
		"too many digits":           {"*1\r\n$" + strings.Repeat("0", 30), 0, true},
		"a length over 64 bits":     {"*1\r\n$99999999999999999999", 0, true},
		"strings too long in total": {"*2\r\n$150\r\n" + strings.Repeat("a", 150) + "\r\n$60\r\n", 0, true},
		"no line end":               {"*1\r\n$4\r\nPING--", 0, true},
		"a line end without CR":     {"*1\n$4\r\nPING\r\n", 0, true},
		"an empty length":           {"*\r\n", 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			words, size, err := Parse([]byte(c.text), limits)
			var parseErr *Error
			if errors.As(err, &parseErr) != c.invalid || size != c.size || (size > 0) != (len(words) > 0) {
				t.Errorf("got words %q, size %d, error %v; want size %d, invalid is %t", words, size, err, c.size, c.invalid)
			}
		})
	}
}

// A stream gives the same messages however it is split, and encoding the words of a message gives bytes that parse to one message
// with as many words.
func FuzzParse(f *testing.F) {
	f.Add([]byte("*1\r\n$4\r\nPING\r\n*3\r\n$4\r\nLOAD\r\n$0\r\n\r\n$1\r\na\r\n"), uint8(3))
	f.Add([]byte("*1\r\n$4\r\nPINGxx*1"), uint8(0))
	f.Add([]byte("*99999\r\n$-1\r\n"), uint8(1))
	parseAll := func(parts [][]byte) (out []string) {
		var buf []byte
		var parser Parser
		for _, part := range parts {
			buf = append(buf, part...)
			for {
				words, size, err := parser.Parse(buf, limits)
				if once, n, onceErr := Parse(buf, limits); n != size || (err == nil) != (onceErr == nil) || len(once) != len(words) {
					f.Errorf("the parser returns %q, %d, %v and Parse %q, %d, %v; want the same", words, size, err, once, n, onceErr)
				}
				if err != nil {
					return append(out, "error")
				}
				if size == 0 {
					break
				}
				var texts []string
				for _, w := range words {
					texts = append(texts, string(w))
				}
				encoded := Append(nil, texts...)
				if got, n, err := Parse(encoded, Limits{Bytes: len(encoded), Words: len(texts)}); err != nil || n != len(encoded) || len(got) != len(texts) {
					f.Errorf("words %q encoded as %q: got error %v or another message, want the same", texts, encoded, err)
				}
				out, buf = append(out, strings.Join(texts, "\x00")), buf[size:]
			}
		}
		return out
	}
	f.Fuzz(func(t *testing.T, stream []byte, step uint8) {
		var split [][]byte
		for rest := stream; len(rest) > 0; {
			n := min(len(rest), int(step)+1)
			split, rest = append(split, rest[:n]), rest[n:]
		}
		if complete, parts := parseAll([][]byte{stream}), parseAll(split); strings.Join(complete, "|") != strings.Join(parts, "|") {
			t.Fatalf("got messages %q from the complete stream and %q from the split one, want equal", complete, parts)
		}
	})
}

func TestText(t *testing.T) {
	if got := Text([][]byte{[]byte("A\n"), bytes.Repeat([]byte("b"), 100)}, 5); got != `A\n bb` {
		t.Errorf("got %q, want the first 5 bytes with the line end escaped", got)
	}
}
