// Command adapter hosts instances of the decision module for the simulator: it reads batches of events from standard
// input and writes replies with the instances' orders to standard output, until the input ends. It exits with status 1
// and a message on standard error if the input violates the protocol or the output cannot be written.
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

// serve replies to batches of events until the input ends.
func serve(in io.Reader, out io.Writer) error {
	r := simwire.NewReader(in)
	w := simwire.NewWriter(out)
	h := host{instances: map[policyapi.InstanceID]*policy.Instance{}}
	for {
		batch, err := r.Read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read a batch: %w", err)
		}
		h.handle(batch, w)
		if err := w.End(); err != nil {
			return fmt.Errorf("write a reply: %w", err)
		}
	}
}

// host runs the instances of this process, which share no state.
type host struct {
	instances map[policyapi.InstanceID]*policy.Instance
}

// handle distributes a batch among its instances and writes their orders, instance by instance, in the sequence in which
// the instances first occur in the batch.
func (h *host) handle(batch simwire.Batch, w *simwire.Writer) {
	var ids []policyapi.InstanceID
	events := map[policyapi.InstanceID][]simwire.InstanceEvent{}
	for _, event := range batch.Events {
		if _, seen := events[event.To]; !seen {
			ids = append(ids, event.To)
		}
		events[event.To] = append(events[event.To], event)
	}
	for _, id := range ids {
		orders, err := h.step(id, batch.Now, events[id])
		if err != nil {
			w.Exception(id, err.Error())
			continue
		}
		for _, o := range orders {
			w.Order(id, o)
		}
	}
}

// step runs one instance and returns its panic, if any, as an error. Events before a crash or a start are discarded: they
// are for the instance that ends there, whose orders would have no effect.
func (h *host) step(
	id policyapi.InstanceID, now policyapi.Microseconds, events []simwire.InstanceEvent,
) (orders []policyapi.Order, err error) {
	defer func() {
		if p := recover(); p != nil {
			orders, err = nil, errors.New(fmt.Sprint(p))
		}
	}()
	var batch []policyapi.Event
	for _, event := range events {
		if event.Crash {
			delete(h.instances, id)
			batch = nil
			continue
		}
		if start, is := event.Event.(policyapi.Start); is {
			h.instances[id] = policy.New(start)
			batch = nil
			continue
		}
		batch = append(batch, event.Event)
	}
	instance := h.instances[id]
	if instance == nil {
		return nil, nil
	}
	return instance.Step(now, batch), nil
}
