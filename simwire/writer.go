package simwire

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"io"
	"strconv"
	"strings"

	"porthub/policyapi"
)

// Writer writes buffered replies. It retains the first error of the underlying writer, which End returns.
type Writer struct{ out *bufio.Writer }

// NewWriter returns a Writer that writes to out.
func NewWriter(out io.Writer) *Writer { return &Writer{bufio.NewWriterSize(out, bufferSize)} }

// Order writes one order of an instance.
func (w *Writer) Order(from policyapi.InstanceID, order policyapi.Order) {
	name, parts := encode(order)
	w.write(name, "\t", string(from))
	for _, part := range parts {
		w.write("\t", part)
	}
	w.write("\n")
}

// Exception writes that the decision code of an instance has failed, and why.
func (w *Writer) Exception(from policyapi.InstanceID, text string) {
	w.write("EXCEPTION\t", string(from), "\t", oneLine(text), "\n")
}

// End writes the end of a reply and flushes the buffer.
func (w *Writer) End() error {
	w.write("OK\n")
	return w.out.Flush()
}

// write writes texts to the buffer, which retains an error until End flushes it.
func (w *Writer) write(texts ...string) {
	for _, text := range texts {
		_, _ = w.out.WriteString(text)
	}
}

// encode returns the name of an order's message and the parts that follow the instance.
func encode(order policyapi.Order) (name string, parts []string) {
	switch o := order.(type) {
	case policyapi.Log:
		return "RECORD", []string{oneLine(o.Text)}
	case policyapi.WatchEndpoints:
		return "TAIL", []string{flag(o.Enabled)}
	case policyapi.Resync:
		return "QUERY_ALL", nil
	case policyapi.SetTimer:
		return "SLEEP", []string{integer(o.After), integer(o.Token)}
	case policyapi.CheckHealth:
		return "HEALTH_CHECK", []string{string(o.Endpoint)}
	case policyapi.Broadcast:
		return "BROADCAST_TO", []string{"all", base64.StdEncoding.EncodeToString(o.Body)}
	case policyapi.SetWeight:
		return "LINE", []string{integer(o.Table), number(o.Weight), string(o.Endpoint)}
	case policyapi.ClearTable:
		return "DROP_LINES", []string{integer(o.Table)}
	case policyapi.BindProxy:
		return "INSTALL", []string{integer(o.Proxy), integer(o.Table), classes(o.Classes)}
	case policyapi.EjectEndpoint:
		return "MASK", []string{string(o.Endpoint), flag(o.Ejected)}
	case policyapi.SetAdmission:
		return "GATE_CLASS", []string{integer(o.Table), classes(o.Classes), number(o.Level), integer(o.RetryPolicy)}
	case policyapi.RequestAck:
		return "MARK", []string{integer(o.AckID), flag(o.AllProxies)}
	default:
		return "EXCEPTION", []string{fmt.Sprintf("no wire form for %T", order)}
	}
}

// significantDigits is the number of digits with which weights and levels are written.
const significantDigits = 6

func number(v float64) string { return strconv.FormatFloat(v, 'g', significantDigits, 64) }

func integer[T ~int | ~int64](v T) string { return strconv.FormatInt(int64(v), 10) }

func classes(set policyapi.ClassSet) string { return strconv.FormatUint(uint64(set), 10) }

func flag(v bool) string {
	if v {
		return "1"
	}
	return "0"
}

// oneLine replaces line ends and tabs, which the protocol reserves, with spaces.
func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }
