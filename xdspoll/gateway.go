package xdspoll

import (
	"slices"
	"time"

	"porthub/coordinator"
	"porthub/routing"
)

// gatewayState holds a gateway's last publications and its pending polls. The Hub's mutex guards it.
type gatewayState struct {
	publication coordinator.Publish           // the last publication
	version     [routing.DocumentCount]string // version of the last publication that changed each document
	changed     [routing.DocumentCount]uint64 // number of the last publication that changed each document
	count       uint64                        // number of publications so far
	history     []base                        // the last publications, the newest one last
	byNonce     map[string]base               // the publications of history, by nonce
	waiters     map[*waiter]bool              // pending polls
}

// base is a publication that a delta can start from.
type base struct {
	nonce    string
	number   uint64
	snapshot routing.Snapshot
}

// waiter is a pending poll.
type waiter struct {
	request Request
	timer   *time.Timer
	done    bool // no longer pending: answered, expired or cancelled
}

func newGatewayState() *gatewayState {
	return &gatewayState{byNonce: map[string]base{}, waiters: map[*waiter]bool{}}
}

// publish records a publication and keeps up to deltaBases earlier ones as bases for deltas.
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

// hasUpdate reports whether there is something to send in response to a poll. A publication without any difference is sent
// as an empty delta, because the core waits for its acknowledgement. Otherwise a gateway that reconnected and needed no
// change would not acknowledge it, and would count as unresponsive until something changed.
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
