package resp

import (
	"bytes"
	"fmt"
	"strconv"
)

// Limits bound one message.
type Limits struct {
	Bytes int // in all
	Words int
}

// Error is a message that can't be parsed. The boundaries of later messages on the connection are unknown.
type Error struct{ Reason string }

func (e *Error) Error() string { return e.Reason }

const (
	// maxLengthDigits is the longest number that always fits into an int.
	maxLengthDigits = 18

	arrayPrefix      = '*'
	bulkStringPrefix = '$'
	lineEnd          = "\r\n"
)

// Parse parses the first message of a buffer. It returns the message's size in bytes; 0 without an error if the message is not complete
// yet. The words are parts of the buffer and valid as long as that is. An error is an *Error; announced lengths are checked before their
// bytes have come, so that one over the limits is an error at once.
func Parse(buf []byte, limits Limits) (words [][]byte, size int, err error) {
	count, at, err := parseLength(buf, 0, arrayPrefix, limits.Words)
	if err != nil || at == 0 {
		return nil, 0, err
	}
	if count == 0 {
		return nil, 0, &Error{"an array without words"}
	}
	for range count {
		length, start, err := parseLength(buf, at, bulkStringPrefix, limits.Bytes-at)
		if err != nil || start == 0 {
			return nil, 0, err
		}
		end := start + length
		next := end + len(lineEnd)
		if next > limits.Bytes {
			return nil, 0, &Error{fmt.Sprintf("a message of over %d bytes", limits.Bytes)}
		}
		if len(buf) > end && buf[end] != '\r' || len(buf) > end+1 && buf[end+1] != '\n' {
			return nil, 0, &Error{"no line end after a string"}
		}
		if len(buf) < next {
			return nil, 0, nil
		}
		words = append(words, buf[start:end])
		at = next
	}
	return words, at, nil
}

// parseLength parses, from an index on, a type's prefix, a whole number up to maximum and a line end. It returns the index after them; 0
// if they are not complete yet.
func parseLength(buf []byte, at int, prefix byte, maximum int) (n, next int, err error) {
	rest := buf[min(at, len(buf)):]
	if len(rest) > 0 && rest[0] != prefix {
		return 0, 0, &Error{fmt.Sprintf("%q where %q is expected", rest[0], prefix)}
	}
	for i, c := range rest[min(1, len(rest)):] {
		switch {
		case c >= '0' && c <= '9' && i < maxLengthDigits:
			n = 10*n + int(c-'0')
			if n > maximum {
				return 0, 0, &Error{fmt.Sprintf("a length over %d", max(0, maximum))}
			}
		case c == '\r' && i > 0:
			return endLength(rest, at, i+2, n)
		default:
			return 0, 0, &Error{"a length that is no whole number"}
		}
	}
	return 0, 0, nil
}

// endLength checks the second byte of a length's line end, which is at an index of rest.
func endLength(rest []byte, at, index, n int) (length, next int, err error) {
	if len(rest) <= index {
		return 0, 0, nil
	}
	if rest[index] != '\n' {
		return 0, 0, &Error{"no line end after a length"}
	}
	return n, at + index + 1, nil
}

// Append appends a message to a buffer.
func Append(buf []byte, words ...string) []byte {
	buf = append(buf, arrayPrefix)
	buf = strconv.AppendInt(buf, int64(len(words)), 10)
	for _, word := range words {
		buf = append(buf, "\r\n$"...)
		buf = strconv.AppendInt(buf, int64(len(word)), 10)
		buf = append(buf, lineEnd...)
		buf = append(buf, word...)
	}
	return append(buf, lineEnd...)
}

// Text returns a message in one line, for logs: cut after so many bytes, unprintable characters escaped.
func Text(words [][]byte, maxBytes int) string {
	text := bytes.Join(words, []byte(" "))
	if len(text) > maxBytes {
		text = text[:maxBytes]
	}
	quoted := strconv.QuoteToASCII(string(text))
	return quoted[1 : len(quoted)-1]
}
