//go:build review

package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

// channel carries the messages of one coordinator: they leave one after the other at linesPerS and arrive a little later.
type channel struct {
	w    *world
	name string

	mu      sync.Mutex
	queue   []*queued
	waiting float64
	most    float64
	wake    chan struct{}
	epoch   int
}

// queued is a message that waits in the channel.
type queued struct {
	s     *stream
	cost  float64
	apply func()
	epoch int
}

func newChannel(w *world, name string) *channel {
	c := &channel{w: w, name: name, wake: make(chan struct{}, 1)}
	go c.run()
	return c
}

// reset drops what waits, as the end of the coordinator does.
func (c *channel) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue, c.waiting = nil, 0
	c.epoch++
}

// enter puts a message into the channel, and judges the rule on the queue.
func (c *channel) enter(s *stream, lines int, apply func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cost := envelope + float64(lines)
	c.queue = append(c.queue, &queued{s, cost, apply, c.epoch})
	c.waiting += cost
	c.most = max(c.most, c.waiting)
	if c.waiting > queueCap {
		c.w.breaks("queue", "%.0f lines wait in the channel of %s", c.waiting, c.name)
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *channel) run() {
	free := time.Now()
	for {
		c.mu.Lock()
		for len(c.queue) > 0 && c.queue[0].s.isClosed() { // what waits for a proxy that has left is dropped
			c.waiting -= c.queue[0].cost
			c.queue = c.queue[1:]
		}
		if len(c.queue) == 0 {
			c.mu.Unlock()
			<-c.wake
			continue
		}
		first, epoch := c.queue[0], c.epoch
		c.mu.Unlock()
		if now := time.Now(); free.Before(now) {
			free = now
		}
		free = free.Add(time.Duration(first.cost / linesPerS * float64(time.Second)))
		time.Sleep(time.Until(free))
		c.mu.Lock()
		if c.epoch != epoch || len(c.queue) == 0 || c.queue[0] != first {
			c.mu.Unlock()
			continue
		}
		c.queue = c.queue[1:]
		c.waiting -= first.cost
		c.mu.Unlock()
		transit := time.Duration((0.12 + 0.4*rand.Float64()) * float64(time.Second))
		at := time.Now().Add(transit)
		if at.Before(first.s.lastArrival) {
			at = first.s.lastArrival
		}
		first.s.lastArrival = at // only this goroutine uses it
		first.s.arrivals <- arrival{at, first.apply}
	}
}
