//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// respMessage encodes a RESP2 array of bulk strings.
func respMessage(words ...string) []byte {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, word := range words {
		_, _ = fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(word), word)
	}
	return []byte(b.String())
}

var errNotAMessage = errors.New("not a RESP2 array of bulk strings")

func readLength(r *bufio.Reader, prefix byte) (int, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if len(line) < 4 || line[0] != prefix || !strings.HasSuffix(line, "\r\n") {
		return 0, errNotAMessage
	}
	n, err := strconv.Atoi(line[1 : len(line)-2])
	if err != nil || n < 0 || n > 1<<20 {
		return 0, errNotAMessage
	}
	return n, nil
}

// readResp reads one message.
func readResp(r *bufio.Reader) ([]string, error) {
	count, err := readLength(r, '*')
	if err != nil {
		return nil, err
	}
	words := make([]string, count)
	for i := range words {
		length, err := readLength(r, '$')
		if err != nil {
			return nil, err
		}
		text := make([]byte, length+2)
		if _, err := io.ReadFull(r, text); err != nil {
			return nil, err
		}
		if string(text[length:]) != "\r\n" {
			return nil, errNotAMessage
		}
		words[i] = string(text[:length])
	}
	return words, nil
}
