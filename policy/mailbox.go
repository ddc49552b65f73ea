package policy

import "porthub/policyapi"

// mailbox queues the messages to an actor until it receives them.
type mailbox struct{ messages []message }

func (b *mailbox) send(m message) { b.messages = append(b.messages, m) }

// drain empties the mailbox and returns its messages in the order in which they were sent.
func (b *mailbox) drain() []message {
	messages := b.messages
	b.messages = nil
	return messages
}

// actor is a part of an Instance. Only receive changes its state.
type actor interface {
	send(m message)
	drain() []message
	receive(now micros, m message)
}

// outbox collects the orders of one Step.
type outbox struct{ orders []policyapi.Order }

func (o *outbox) add(order policyapi.Order) { o.orders = append(o.orders, order) }

// log adds an order to log a line. Package policylog formats the lines.
func (o *outbox) log(line string) { o.add(policyapi.Log{Text: line}) }
