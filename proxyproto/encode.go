package proxyproto

import (
	"slices"
	"strconv"
	"strings"

	"porthub/policyapi"
	"porthub/resp"
)

// maxRowsPerPart bounds the rows of one part. With endpoint names of 100 bytes, a part takes a tenth of MaxMessageBytes.
const maxRowsPerPart = 1000

// messageEncoder writes the parts of one message and counts its lines.
type messageEncoder struct {
	classes []string
	message OutboundMessage
}

// encode writes the parts. The last part also has the ejections and the ack id.
func (e *messageEncoder) encode(parts []messagePart, eject, restore []string) {
	parts = splitParts(parts)
	if len(parts) == 0 {
		parts = append(parts, messagePart{})
	}
	for i, part := range parts {
		words := []string{"CONFIG"}
		words = e.appendPart(words, part)
		if i < len(parts)-1 {
			words = append(words, "part", "1")
		} else {
			words = e.appendTrailer(words, eject, restore)
		}
		e.message.Bytes = resp.Append(e.message.Bytes, words...)
	}
}

// splitParts splits parts with more than maxRowsPerPart rows; the first of the resulting parts keeps the other fields.
func splitParts(parts []messagePart) []messagePart {
	for i := 0; i < len(parts); i++ {
		if part := parts[i]; len(part.rows) > maxRowsPerPart {
			rest := messagePart{classes: part.classes, rows: part.rows[maxRowsPerPart:]}
			parts[i].rows = part.rows[:maxRowsPerPart]
			parts = slices.Insert(parts, i+1, rest)
		}
	}
	return parts
}

func (e *messageEncoder) appendPart(words []string, part messagePart) []string {
	if len(part.classes) > 0 && len(part.classes) < len(e.classes) {
		var names []string
		for _, class := range part.classes {
			names = append(names, e.classes[class])
		}
		words = append(words, "for", strings.Join(names, "+"))
	}
	if part.replace {
		words = append(words, "replace", "1")
		e.message.Lines++
		e.message.HasCompleteTable = true
	}
	if len(part.rows) > 0 {
		words = append(words, "rows", strings.Join(part.rows, ","))
		e.message.Lines += len(part.rows)
	}
	if part.admission != nil {
		words = append(words, "gate", formatNumber(part.admission.level), "again", strconv.Itoa(int(part.admission.retryPolicy)))
		e.message.Lines++
	}
	return words
}

func (e *messageEncoder) appendTrailer(words, eject, restore []string) []string {
	if len(eject) > 0 {
		words = append(words, "drop", strings.Join(eject, ","))
		e.message.Lines += len(eject)
	}
	if len(restore) > 0 {
		words = append(words, "undrop", strings.Join(restore, ","))
		e.message.Lines += len(restore)
	}
	if e.message.RequestsAck {
		words = append(words, "stamp", strconv.Itoa(int(e.message.AckID)))
		e.message.Lines++
	}
	return words
}

func formatRow(id policyapi.EndpointID, weight float64) string {
	return string(id) + ":" + formatNumber(weight)
}

// wireDigits is the number of significant digits of weights and levels in messages, as in the simulator's protocol.
const wireDigits = 6

// roundToWire rounds a number to wireDigits, so that comparisons use the value that is sent.
func roundToWire(v float64) float64 {
	rounded, err := strconv.ParseFloat(strconv.FormatFloat(v, 'g', wireDigits, 64), 64)
	if err != nil {
		return v
	}
	return rounded
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }
