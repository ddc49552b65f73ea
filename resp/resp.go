// Package resp takes whole RESP2 arrays of bulk strings off the front of a buffer, within limits, and writes them. It
// holds no state: the same bytes give the same messages however they were split on the way. Nothing else of RESP2 is
// spoken on the platform: no inline commands, no nested arrays, no other types.
package resp

import (
	"bytes"
	"fmt"
	"strconv"
)

// Limits bound one message.
type Limits struct {
	Bytes int // the whole of it
	Words int
}

// Error is a message that can't be taken; what follows it on the connection can't be told apart any more.
type Error struct{ Reason string }

func (e *Error) Error() string { return e.Reason }

// maxLengthDigits is the longest line that can announce a length within an int: a sign would be refused anyway.
const maxLengthDigits = 18

// Parse takes the first message. It returns how many bytes it was; 0 without an error says that it is not whole yet. The
// words are parts of the buffer: they hold only as long as it does. All that is announced is checked before it has come,
// so that a length that can't be kept is refused at once.
func Parse(buf []byte, limits Limits) (words [][]byte, size int, err error) {
	n, at, err := parseLength(buf, 0, '*', limits.Words)
	if err != nil || at == 0 {
		return nil, 0, err
	}
	if n == 0 {
		return nil, 0, &Error{"an array without words"}
	}
	for range n {
		length, start, err := parseLength(buf, at, '$', limits.Bytes-at)
		if err != nil || start == 0 {
			return nil, 0, err
		}
		end := start + length
		if end+2 > limits.Bytes {
			return nil, 0, &Error{fmt.Sprintf("a message has %d bytes at most", limits.Bytes)}
		}
		if len(buf) > end && buf[end] != '\r' || len(buf) > end+1 && buf[end+1] != '\n' {
			return nil, 0, &Error{"no line end after a string"}
		}
		if len(buf) < end+2 {
			return nil, 0, nil
		}
		words, at = append(words, buf[start:end]), end+2
	}
	return words, at, nil
}

// parseLength reads a type, a whole number up to most and the line's end from the place given on, and returns the place behind
// it: 0 if it is not whole yet.
func parseLength(buf []byte, at int, kind byte, most int) (n, behind int, err error) {
	rest := buf[min(at, len(buf)):]
	if len(rest) > 0 && rest[0] != kind {
		return 0, 0, &Error{fmt.Sprintf("%q stands where %q is due", rest[0], kind)}
	}
	for i, c := range rest[min(1, len(rest)):] {
		switch {
		case c >= '0' && c <= '9' && i < maxLengthDigits:
			if n = 10*n + int(c-'0'); n > most {
				return 0, 0, &Error{fmt.Sprintf("a length over %d", max(0, most))}
			}
		case c == '\r' && i > 0:
			if len(rest) > i+2 {
				if rest[i+2] != '\n' {
					return 0, 0, &Error{"no line end after a length"}
				}
				return n, at + i + 3, nil
			}
			return 0, 0, nil
		default:
			return 0, 0, &Error{"a length that is no whole number"}
		}
	}
	return 0, 0, nil
}

// Append writes a message behind what the buffer holds.
func Append(buf []byte, words ...string) []byte {
	buf = append(buf, '*')
	buf = strconv.AppendInt(buf, int64(len(words)), 10)
	for _, w := range words {
		buf = append(buf, "\r\n$"...)
		buf = strconv.AppendInt(buf, int64(len(w)), 10)
		buf = append(buf, "\r\n"...)
		buf = append(buf, w...)
	}
	return append(buf, "\r\n"...)
}

// Text is a message in one line, for logs: cut after so many bytes, what is not printable escaped.
func Text(words [][]byte, most int) string {
	text := bytes.Join(words, []byte(" "))
	if len(text) > most {
		text = text[:most]
	}
	quoted := strconv.QuoteToASCII(string(text))
	return quoted[1 : len(quoted)-1]
}
