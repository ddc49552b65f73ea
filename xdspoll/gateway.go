package xdspoll

import (
	"slices"
	"time"

	"porthub/coordinator"
	"porthub/routing"
)

// gatewayState is what a gateway may be sent, and its polls that wait. The Hub's mutex guards it.
type gatewayState struct {
	publication coordinator.Publish           // the last
	version     [routing.DocumentCount]string // of the last change of each document
	changed     [routing.DocumentCount]uint64 // number of the publication with that change
	count       uint64                        // of publications
	history     []base                        // the last publications, the newest last
	byNonce     map[string]base               // of history
	waiters     map[*waiter]bool
}

// base is a publication from which a delta may start.
type base struct {
	nonce    string
	number   uint64
	snapshot routing.Snapshot
}

// waiter is a poll that waits for something new.
type waiter struct {
	request  Request
	timer    *time.Timer
	answered bool // or cancelled
}

func newGatewayState() *gatewayState {
	return &gatewayState{byNonce: map[string]base{}, waiters: map[*waiter]bool{}}
}

// publish records a publication and retains up to deltaBases earlier ones as bases of deltas.
func (g *gatewayState) publish(p coordinator.Publish, deltaBases int) {
	g.count++
	for document, changed := range p.Changed {
		if changed {
			g.version[document] = p.Version
			g.changed[document] = g.count
		}
	}
	g.publication = p
	current := base{nonce: p.Nonce, number: g.count, snapshot: p.Snapshot}
	g.history = append(g.history, current)
	g.byNonce[p.Nonce] = current
	for len(g.history) > deltaBases+1 {
		delete(g.byNonce, g.history[0].nonce)
		g.history = slices.Delete(g.history, 0, 1)
	}
}

// hasUpdate reports whether there is something to send to a poll. What is published again without a difference is sent as
// an empty delta: the core waits for its acknowledgement. (A gateway that reconnected and needed no change would
// otherwise not acknowledge, and count as unresponsive until something changed.)
func (g *gatewayState) hasUpdate(r Request) bool {
	version := g.version[r.Document]
	if version == "" {
		return false
	}
	if !r.Delta {
		return version != r.Version
	}
	from, ok := g.byNonce[r.Nonce]
	return !ok || from.number < g.changed[r.Document]
}
