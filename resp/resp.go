package resp

import (
	"bytes"
	"fmt"
	"strconv"
)

// Limits bound the size of one message.
type Limits struct {
	Bytes int // total size of the encoded message
	Words int
}

// Error describes a message that can't be parsed. The boundaries of later messages on the same connection are then unknown.
type Error struct{ Reason string }

func (e *Error) Error() string { return e.Reason }

const (
	// maxLengthDigits is the longest number that always fits into an int.
	maxLengthDigits = 18

	arrayPrefix      = '*'
	bulkStringPrefix = '$'
	lineEnd          = "\r\n"
)

// Parse parses the first message of a buffer and returns its words and its size in bytes. If the message is not complete yet, the
// size is 0 and the error is nil. The words are slices of the buffer and only valid as long as the buffer is not modified. Errors
// have the type *Error. Lengths are checked against the limits before the announced bytes have arrived.
func Parse(buf []byte, limits Limits) (words [][]byte, size int, err error) {
	var p Parser
	return p.Parse(buf, limits)
}

// Parser parses messages that arrive in pieces, without reading again the words that earlier pieces have completed. The zero value
// is ready to use.
type Parser struct {
	count int    // number of words of the message; 0 until it is known
	words []span // complete words of the message
	next  int    // index after them
}

// span is the position of a word in the buffer.
type span struct{ start, end int }

// Parse does the same as the function Parse. While a message is incomplete, the next call must be given the same bytes with
// more bytes appended, and the same limits.
func (p *Parser) Parse(buf []byte, limits Limits) (words [][]byte, size int, err error) {
	if p.count == 0 {
		count, next, err := parseLength(buf, 0, arrayPrefix, limits.Words)
		if err != nil || next == 0 {
			return nil, 0, err
		}
		if count == 0 {
			return nil, 0, &Error{"the array has no words"}
		}
		p.count = count
		p.next = next
	}
	for len(p.words) < p.count {
		complete, err := p.parseWord(buf, limits)
		if err != nil || !complete {
			return nil, 0, err
		}
	}
	words = make([][]byte, p.count)
	for i, word := range p.words {
		words[i] = buf[word.start:word.end]
	}
	size = p.next
	*p = Parser{words: p.words[:0]}
	return words, size, nil
}

// parseWord parses the next word of the message and reports whether it is complete.
func (p *Parser) parseWord(buf []byte, limits Limits) (complete bool, err error) {
	length, start, err := parseLength(buf, p.next, bulkStringPrefix, limits.Bytes-p.next)
	if err != nil || start == 0 {
		return false, err
	}
	end := start + length
	next := end + len(lineEnd)
	if next > limits.Bytes {
		return false, &Error{fmt.Sprintf("the message is longer than %d bytes", limits.Bytes)}
	}
	if len(buf) > end && buf[end] != '\r' || len(buf) > end+1 && buf[end+1] != '\n' {
		return false, &Error{"missing line end after a string"}
	}
	if len(buf) < next {
		return false, nil
	}
	p.words = append(p.words, span{start, end})
	p.next = next
	return true, nil
}

// parseLength parses, starting at an index of buf, the prefix of a type, an integer from 0 to maximum and a line end. It returns
// the integer and the index after the line end; the index is 0 if they are not complete yet.
func parseLength(buf []byte, at int, prefix byte, maximum int) (n, next int, err error) {
	rest := buf[min(at, len(buf)):]
	if len(rest) > 0 && rest[0] != prefix {
		return 0, 0, &Error{fmt.Sprintf("got byte %q, want %q", rest[0], prefix)}
	}
	for i, c := range rest[min(1, len(rest)):] {
		switch {
		case c >= '0' && c <= '9' && i < maxLengthDigits:
			n = 10*n + int(c-'0')
			if n > maximum {
				return 0, 0, &Error{fmt.Sprintf("the length is greater than %d", max(0, maximum))}
			}
		case c == '\r' && i > 0:
			return endLength(rest, at, i+2, n)
		default:
			return 0, 0, &Error{"the length is not a non-negative integer"}
		}
	}
	return 0, 0, nil
}

// endLength checks the second byte of the line end after a length n. The byte is at the given index of rest, which begins at
// index at of the buffer.
func endLength(rest []byte, at, index, n int) (length, next int, err error) {
	if len(rest) <= index {
		return 0, 0, nil
	}
	if rest[index] != '\n' {
		return 0, 0, &Error{"missing line end after a length"}
	}
	return n, at + index + 1, nil
}

// Append appends the encoded message to a buffer and returns the extended buffer.
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

// Text returns the words of a message in one line, for logs. It truncates them to maxBytes in total and escapes unprintable
// characters.
func Text(words [][]byte, maxBytes int) string {
	text := bytes.Join(words, []byte(" "))
	if len(text) > maxBytes {
		text = text[:maxBytes]
	}
	quoted := strconv.QuoteToASCII(string(text))
	return quoted[1 : len(quoted)-1]
}
