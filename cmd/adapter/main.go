// Command adapter hosts instances of the decision module on the bench's wire.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"porthub/policy"
	"porthub/policyapi"
	"porthub/simwire"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// host keeps the instances of this process; they share nothing.
type host struct {
	instances map[policyapi.InstanceID]*policy.Instance
	order     []policyapi.InstanceID // of the batch, in the order in which they first occur
	events    map[policyapi.InstanceID][]simwire.Addressed
}

func serve(in io.Reader, out io.Writer) error {
	r, w := simwire.NewReader(in), simwire.NewWriter(out)
	h := host{instances: map[policyapi.InstanceID]*policy.Instance{}, events: map[policyapi.InstanceID][]simwire.Addressed{}}
	for {
		batch, err := r.Read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		h.turn(batch, w)
		if err := w.End(); err != nil {
			return err
		}
	}
}

// turn deals a batch out to its instances and writes what they order.
func (h *host) turn(batch simwire.Batch, w *simwire.Writer) {
	h.order = h.order[:0]
	for _, ev := range batch.Events {
		if _, seen := h.events[ev.To]; !seen {
			h.order = append(h.order, ev.To)
		}
		h.events[ev.To] = append(h.events[ev.To], ev)
	}
	for _, id := range h.order {
		events := h.events[id]
		delete(h.events, id)
		orders, failed := h.act(id, batch.Now, events)
		if failed != "" {
			w.Exception(id, failed)
			continue
		}
		for _, o := range orders {
			w.Order(id, o)
		}
	}
}

// act runs one instance; its panic becomes a text. Events up to a crash are moot: their orders would die with it.
func (h *host) act(id policyapi.InstanceID, now policyapi.Microseconds, events []simwire.Addressed) (orders []policyapi.Order, failed string) {
	defer func() {
		if p := recover(); p != nil {
			orders, failed = nil, fmt.Sprint(p)
		}
	}()
	var batch []policyapi.Event
	for _, ev := range events {
		if ev.Crash {
			delete(h.instances, id)
			batch = nil
			continue
		}
		if start, isStart := ev.Event.(policyapi.Start); isStart {
			h.instances[id] = policy.New(start)
			batch = nil
			continue
		}
		batch = append(batch, ev.Event)
	}
	instance := h.instances[id]
	if instance == nil {
		return nil, ""
	}
	return instance.Step(now, batch), ""
}
