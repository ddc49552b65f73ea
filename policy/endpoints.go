package policy

import (
	"encoding/binary"
	"hash/crc32"
	"slices"

	"porthub/policyapi"
)

const (
	// endpointRetention is how long the state of a removed endpoint is retained: the endpoint may be listed again with
	// the same ID.
	endpointRetention = 60 * second
	// maxPollFailures is the number of consecutive failures up to which the poll backoff grows.
	maxPollFailures = 4
	// minPollBackoff and pollBackoffJitter are the fixed and the random part of the poll backoff, in seconds for each
	// consecutive failure. The random part keeps instances from polling at the same time.
	minPollBackoff, pollBackoffJitter = 0.25, 0.5
)

// endpointList follows the endpoint list and owns the endpoints' actors.
type endpointList struct {
	mailbox
	out       *outbox
	planner   *planner
	settings  *settings
	draws     uint64 // random numbers drawn
	failures  int    // consecutive failed polls
	actors    map[policyapi.EndpointID]*endpointActor
	order     []*endpointActor // in the order in which the endpoints were first listed
	removedAt map[policyapi.EndpointID]micros
}

func newEndpointList(out *outbox, p *planner, s *settings) *endpointList {
	return &endpointList{
		out:       out,
		planner:   p,
		settings:  s,
		actors:    map[policyapi.EndpointID]*endpointActor{},
		removedAt: map[policyapi.EndpointID]micros{},
	}
}

func (l *endpointList) receive(now micros, m message) {
	switch m := m.(type) {
	case reportRound:
		l.dropRemoved(now)
	case pollList:
		if l.settings.pollsList {
			l.out.add(policyapi.WatchEndpoints{Enabled: true})
		}
	case hostEvent:
		l.handleEvent(now, m)
	}
}

func (l *endpointList) handleEvent(now micros, m hostEvent) {
	switch event := m.event.(type) {
	case policyapi.EndpointLoad:
		l.forward(event.Endpoint, m)
	case policyapi.HealthCheckResult:
		l.forward(event.Endpoint, m)
	case policyapi.EndpointUpdate:
		l.apply(now, event)
	}
}

// forward sends a message to an endpoint's actor, if there is one.
func (l *endpointList) forward(id policyapi.EndpointID, m message) {
	if a := l.actors[id]; a != nil {
		a.send(m)
	}
}

// apply updates the actors to the list.
func (l *endpointList) apply(now micros, update policyapi.EndpointUpdate) {
	if update.Kind == policyapi.Failed {
		l.retryPoll()
		return
	}
	l.failures = 0
	if update.Kind != policyapi.Cached {
		l.planner.send(listConfirmed{})
	}
	listed := map[policyapi.EndpointID]bool{}
	for _, e := range update.Endpoints {
		listed[e.ID] = true
		l.applyEntry(now, e)
	}
	if update.Kind != policyapi.Delta {
		l.removeUnlisted(now, listed)
	}
}

func (l *endpointList) applyEntry(now micros, e policyapi.Endpoint) {
	if l.actors[e.ID] == nil && e.Status != policyapi.Removed {
		a := newEndpointActor(e.ID, l.out, l.planner, l.settings)
		l.actors[e.ID] = a
		l.order = append(l.order, a)
	}
	l.forward(e.ID, entryUpdate{e})
	if e.Status == policyapi.Removed {
		l.recordRemoval(now, e.ID)
	} else {
		delete(l.removedAt, e.ID)
	}
}

// removeUnlisted treats the endpoints that a complete list does not contain as removed.
func (l *endpointList) removeUnlisted(now micros, listed map[policyapi.EndpointID]bool) {
	for _, a := range l.order {
		if listed[a.id] {
			continue
		}
		l.recordRemoval(now, a.id)
		a.send(entryUpdate{policyapi.Endpoint{
			ID:     a.id,
			Zone:   a.entry.Zone,
			Weight: a.entry.Weight,
			Status: policyapi.Removed,
		}})
	}
}

// recordRemoval records when an endpoint was first found removed.
func (l *endpointList) recordRemoval(now micros, id policyapi.EndpointID) {
	if _, tracked := l.removedAt[id]; !tracked && l.actors[id] != nil {
		l.removedAt[id] = now
	}
}

// dropRemoved drops the actors of endpoints that were removed more than endpointRetention ago; in a fleet whose endpoints
// get new IDs, the actors would accumulate. An endpoint whose removal is unconfirmed may still be in tables and keeps its
// actor.
func (l *endpointList) dropRemoved(now micros) {
	for _, a := range slices.Clone(l.order) {
		at, removed := l.removedAt[a.id]
		if !removed || now-at <= endpointRetention || a.unconfirmedRemoval {
			continue
		}
		delete(l.removedAt, a.id)
		delete(l.actors, a.id)
		l.order = slices.DeleteFunc(l.order, func(other *endpointActor) bool { return other == a })
		a.send(endpointDropped{a.id}) // run still includes the actor in its current pass
	}
}

// retryPoll sets a timer to poll the list again after a failure. The backoff grows with each consecutive failure.
func (l *endpointList) retryPoll() {
	l.failures = min(l.failures+1, maxPollFailures)
	backoff := float64(second) * float64(l.failures) * (minPollBackoff + pollBackoffJitter*l.random())
	l.out.add(policyapi.SetTimer{After: micros(backoff), Token: pollToken})
}

// random returns a number from 0 to below 1. It depends only on the seed and the number of earlier draws, so that a replay
// draws the same numbers.
func (l *endpointList) random() float64 {
	l.draws++
	key := binary.LittleEndian.AppendUint64(nil, l.settings.seed)
	key = binary.LittleEndian.AppendUint64(key, l.draws)
	return float64(crc32.ChecksumIEEE(key)) / (1 << 32)
}
