package proxyserver

import (
	"context"
	"maps"
	"slices"
	"time"

	"porthub/policyapi"
	"porthub/proxyproto"
)

// step waits for inputs or a timer and passes the resulting events to the decision module. It takes at least Host.BatchInterval,
// the minimum time between two batches.
func (c *Coordinator) step(ctx context.Context) error {
	began := time.Now()
	c.inputs = c.mailbox.Next(ctx, c.inputs[:0], c.wait)
	var batch []policyapi.Event
	for _, in := range c.inputs {
		batch = c.accept(ctx, batch, in)
	}
	now := c.clock.Now()
	for {
		token, due := c.timers.popDue(now)
		if !due {
			break
		}
		batch = append(batch, policyapi.TimerFired{Token: token})
	}
	if len(batch) > 0 {
		if err := c.process(ctx, batch); err != nil {
			return err
		}
	}
	c.logStatus(now)
	if rest := time.Duration(c.cfg.Host.BatchInterval)*time.Microsecond - time.Since(began); rest > 0 {
		time.Sleep(rest)
	}
	return nil
}

// wait returns a channel that receives when the next timer or the next status line is due. It returns nil if a timer is due now.
func (c *Coordinator) wait() <-chan time.Time {
	now := c.clock.Now()
	until := statusInterval
	if at, has := c.timers.next(); has {
		until = min(until, at-now)
	}
	if until <= 0 {
		return nil
	}
	return c.clock.After(until)
}

// accept appends the events that follow from an input to a batch.
func (c *Coordinator) accept(ctx context.Context, batch []policyapi.Event, in input) []policyapi.Event {
	switch event := in.event.(type) {
	case policyapi.EndpointLoad, policyapi.ProxyLoad:
		in.connection.queuedReports.Add(-1)
		return append(batch, event)
	case policyapi.ProxyConnected:
		return c.acceptConnected(batch, in.connection, event)
	case policyapi.ProxyDisconnected:
		if c.streams[event.Proxy] != in.connection {
			return batch // another stream has replaced this one
		}
		delete(c.streams, event.Proxy)
		c.publisher.Disconnect(event.Proxy)
		return append(batch, event)
	case policyapi.Acknowledged:
		id, isCurrent := c.publisher.Acknowledge(event.AckID)
		if c.streams[event.Proxy] != in.connection || !isCurrent {
			return batch // from a replaced stream, or for a decision module that has failed
		}
		event.AckID = id
		return append(batch, event)
	case nil:
		if in.config != nil {
			c.reload(ctx, *in.config)
		} else if in.discovery != nil {
			return c.watcher.handle(ctx, batch, *in.discovery)
		}
		return batch
	default:
		return append(batch, event)
	}
}

// acceptConnected registers a new stream. If the end of the proxy's old stream has not been detected yet, the new stream replaces
// it.
func (c *Coordinator) acceptConnected(batch []policyapi.Event, conn *connection, event policyapi.ProxyConnected) []policyapi.Event {
	if old := c.streams[event.Proxy]; old != nil {
		batch = append(batch, policyapi.ProxyDisconnected{Proxy: event.Proxy})
		c.server.closeConnection(old)
	}
	c.streams[event.Proxy] = conn
	conn.connected = event
	c.publisher.Connect(event)
	return append(batch, event)
}

// process passes the decision module a batch and carries out its orders.
func (c *Coordinator) process(ctx context.Context, batch []policyapi.Event) error {
	now := c.clock.Now()
	orders, err := c.module.step(now, batch)
	if err != nil {
		return err
	}
	c.stats.batches++
	c.stats.maxBatchTime = max(c.stats.maxBatchTime, c.clock.Now()-now)
	for _, order := range orders {
		c.execute(ctx, now, order)
	}
	for _, message := range c.publisher.Apply(orders) {
		c.send(message)
	}
	return nil
}

// execute carries out an order that concerns neither tables nor streams. The publisher applies the other orders.
func (c *Coordinator) execute(ctx context.Context, now policyapi.Microseconds, order policyapi.Order) {
	switch o := order.(type) {
	case policyapi.Log:
		c.logPolicy(o.Text)
	case policyapi.SetTimer:
		c.timers.set(now+max(1, o.After), o.Token)
	case policyapi.WatchEndpoints:
		if o.Enabled {
			c.watcher.enable(ctx)
		} else {
			c.watcher.disable()
		}
	case policyapi.Resync:
		c.watcher.requestSnapshot(ctx, 0)
	case policyapi.CheckHealth:
		c.checker.Check(o.Endpoint)
	}
}

// send sends a message on its proxy's stream if the stream is still connected.
func (c *Coordinator) send(message proxyproto.OutboundMessage) {
	conn := c.streams[message.Proxy]
	if conn == nil {
		return
	}
	c.stats.messages++
	c.stats.lines += message.Lines
	c.stats.bytes += len(message.Bytes)
	if message.HasCompleteTable {
		conn.connected.HasDefaultTableOnly = false
	}
	c.server.send(conn, message)
}

// restartModule resets the state that belongs to a failed decision module and returns the first batch of its successor: the
// endpoint list and the connected proxies.
func (c *Coordinator) restartModule() []policyapi.Event {
	c.timers.clear()
	c.watcher.reset()
	c.publisher = c.publisher.Restart()
	batch := []policyapi.Event{c.endpoints.cachedList()}
	for _, proxy := range slices.Sorted(maps.Keys(c.streams)) {
		connected := c.streams[proxy].connected
		c.publisher.Connect(connected)
		batch = append(batch, connected)
	}
	return batch
}

// applyList applies an endpoint list from discovery and returns the update for the decision module.
func (c *Coordinator) applyList(list proxyproto.EndpointList) policyapi.EndpointUpdate {
	update := c.endpoints.reconcile(list)
	c.endpoints.apply(update, list.HealthCheckAddresses)
	expired := c.server.applyList(update)
	c.publisher.DiscardEndpoints(expired)
	c.endpoints.discard(expired)
	return update
}
