package policy

import (
	"fmt"

	"porthub/policyapi"
)

// mailbox is the queue of messages that an actor has not received yet.
type mailbox struct{ messages []message }

func (b *mailbox) send(m message) { b.messages = append(b.messages, m) }

// drain empties the mailbox and returns what was in it, in the order sent.
func (b *mailbox) drain() []message {
	messages := b.messages
	b.messages = nil
	return messages
}

// actor is a part of an Instance. Its state is changed by receive alone.
type actor interface {
	send(m message)
	drain() []message
	receive(now micros, m message)
}

// outbox collects the orders of one Step.
type outbox struct{ orders []policyapi.Order }

func (o *outbox) add(order policyapi.Order) { o.orders = append(o.orders, order) }

// The texts of log orders. Captures hold them, replays compare them and the coordinator reads their figures, so they
// stay as they are.
const (
	ejectionLog  = "%s sick from %s: of about %.0f tries in a row none was done"
	panicLog     = "sick marks of %s passed over: %t, %.0f of %.0f reqs a second well"
	admissionLog = "levels on: %t, %.1f reqs a second asked, %.1f can be done"
)

func (o *outbox) logf(format string, args ...any) {
	o.add(policyapi.Log{Text: fmt.Sprintf(format, args...)})
}
