package proxyserver

import (
	"context"
	"time"

	"go.uber.org/zap"

	"porthub/policyapi"
	"porthub/proxyproto"
)

// watch is one of discovery's, begun or standing.
type watch struct {
	stop    context.CancelFunc
	address string
	from    policyapi.ListVersion // it was asked for what changed after this
	open    bool                  // it is answered
	late    bool                  // it has missed a line
}

// startWatch asks for changes from the version at hand on, after a pause. One that stands goes on until this one does; one
// that has had no answer yet is called off, it asks at an older address or for an older version.
func (n *Coordinator) startWatch(ctx context.Context, pause time.Duration) {
	for number, w := range n.watches {
		if !w.open {
			n.cancelWatch(number)
		}
	}
	n.lastCall++
	address, from, number := n.address, n.version, n.lastCall
	ctx, stop := context.WithCancel(ctx)
	n.watches[number] = &watch{stop: stop, address: address, from: from}
	go n.discovery.call(ctx, pause, func(ctx context.Context) error { return n.discovery.follow(ctx, address, from, number) }, number)
}

// cancelWatch ends a watch: what it still brings is not taken.
func (n *Coordinator) cancelWatch(number int) {
	n.watches[number].stop()
	delete(n.watches, number)
}

// startWhole asks for the whole list after a pause, in place of an earlier call that has not been answered.
func (n *Coordinator) startWhole(ctx context.Context, pause time.Duration) {
	n.endWhole()
	n.lastCall++
	address, number := n.address, n.lastCall
	ctx, stop := context.WithCancel(ctx)
	n.whole, n.wholeCall = stop, number
	go n.discovery.call(ctx, pause, func(ctx context.Context) error { return n.discovery.whole(ctx, address, number) }, number)
}

// handleDiscovery takes in what came of a call of discovery's. What was called off, or asked for by a module that has failed since, is
// not taken.
func (n *Coordinator) handleDiscovery(ctx context.Context, batch []policyapi.Event, in discoveryEvent) []policyapi.Event {
	if n.whole != nil && in.call == n.wholeCall {
		return n.handleWholeList(ctx, batch, in)
	}
	w := n.watches[in.call]
	switch {
	case w == nil:
		return batch
	case in.failed != nil:
		return n.handleWatchEnd(ctx, batch, in)
	case in.open:
		w.open, n.refused = true, 0
		for number := range n.watches {
			if number < in.call { // it has followed the old one
				n.cancelWatch(number)
			}
		}
		return batch
	case in.late:
		w.late = true
		if n.newest() == in.call {
			n.log.Info("discovery's watch misses a line: another is asked for")
			n.startWatch(ctx, n.spread(lateSpread))
		}
		return batch
	}
	w.late = false
	if list := in.listing.Update; list.Kind == policyapi.Delta && list.Version < w.from {
		n.log.Warn("discovery's changes have numbers below what they were asked from: it has begun anew, the whole list is asked for",
			zap.Int64("from", int64(w.from)), zap.Int64("version", int64(list.Version)))
		n.rewound = true
		n.startWhole(ctx, 0)
		return batch
	}
	return n.applyList(ctx, batch, in)
}

// newest is the last watch that was begun.
func (n *Coordinator) newest() (last int) {
	for number := range n.watches {
		last = max(last, number)
	}
	return last
}

// handleWatchEnd is a watch's end. Where another one stands, at the address in force and with no line missed, nothing is to be
// done; where it stands elsewhere it will end before long, and the address in force is asked again meanwhile. Where none
// stands the module hears of it, or the host asks by itself.
func (n *Coordinator) handleWatchEnd(ctx context.Context, batch []policyapi.Event, in discoveryEvent) []policyapi.Event {
	n.log.Info("discovery's watch has ended", zap.Error(in.failed))
	n.cancelWatch(in.call)
	if last := n.newest(); last > 0 {
		if w := n.watches[last]; w.open && (w.late || w.address != n.address) {
			n.startWatch(ctx, n.backoff())
		}
		return batch
	}
	if !n.cfg.Start.PollsList {
		n.startWatch(ctx, n.backoff())
		return batch
	}
	n.asked = false
	return append(batch, policyapi.EndpointUpdate{Kind: policyapi.Failed})
}

// handleWholeList takes the answer to a call for the whole list.
func (n *Coordinator) handleWholeList(ctx context.Context, batch []policyapi.Event, in discoveryEvent) []policyapi.Event {
	n.endWhole()
	switch {
	case in.failed != nil && n.wholeListDue:
		n.log.Info("discovery gives no list, it is asked again", zap.Error(in.failed))
		n.startWhole(ctx, n.backoff())
		return batch
	case in.failed != nil:
		n.log.Info("discovery gives no list", zap.Error(in.failed))
		return append(batch, policyapi.EndpointUpdate{Kind: policyapi.Failed})
	case in.listing.Update.Version < n.version && !n.rewound:
		n.log.Info("a whole list is older than what the watch has brought: not taken",
			zap.Int64("list", int64(in.listing.Update.Version)), zap.Int64("version", int64(n.version)))
		return batch
	}
	n.refused, n.wholeListDue = 0, false
	rewound := n.rewound
	n.rewound = false
	batch = n.applyList(ctx, batch, in)
	if rewound && n.asked {
		n.startWatch(ctx, 0) // from the number that counts now
	}
	return batch
}

// applyList takes a list in. Of one that can't be read in full what it says of others counts, and the whole list is due.
func (n *Coordinator) applyList(ctx context.Context, batch []policyapi.Event, in discoveryEvent) []policyapi.Event {
	for _, dropped := range in.listing.Dropped {
		n.log.Warn("an entry of the list is passed over", zap.Error(dropped))
	}
	list := in.listing.Update
	if list.Kind == policyapi.Delta && list.Version < n.version {
		return batch // a watch that follows another began before what that one has brought
	}
	list = n.keepUnread(in.listing)
	list = n.keepWithdrawn(list)
	n.version = list.Version
	n.remember(list, in.listing.HealthCheckAddresses)
	forgotten := n.server.follow(list)
	n.board.ForgetEndpoints(forgotten)
	for _, id := range forgotten {
		delete(n.withdrawn, id)
	}
	if len(in.listing.Dropped) > 0 && n.whole == nil {
		n.wholeListDue = true
		n.startWhole(ctx, n.backoff())
	}
	return append(batch, list)
}

// keepUnread sees to it that an endpoint is not taken for removed because its entry in a whole list can't be read: what was known
// of it stays.
func (n *Coordinator) keepUnread(listing proxyproto.EndpointList) policyapi.EndpointUpdate {
	list := listing.Update
	if list.Kind != policyapi.Snapshot {
		return list
	}
	if listing.HasUnnamed {
		list.Kind = policyapi.Delta // any that it seems to lack may be the one without a name
		return list
	}
	for _, id := range listing.Unreadable {
		if e, has := n.list[id]; has {
			list.Endpoints = append(list.Endpoints, e)
		}
	}
	return list
}

// keepWithdrawn sees to it that a list with a lower number than what is at hand, of a discovery that lags behind or has begun anew,
// brings no endpoint back that was told as draining or gone, unless it has been started since.
func (n *Coordinator) keepWithdrawn(list policyapi.EndpointUpdate) policyapi.EndpointUpdate {
	for i, e := range list.Endpoints {
		started, withdrawn := n.withdrawn[e.ID]
		if withdrawn && e.Status == policyapi.Ready && list.Version < n.version && e.StartedAt <= started {
			list.Endpoints[i].Status = policyapi.Draining
		}
	}
	return list
}

// backoff is the pause before a call that follows a failed one: longer each time, up to a bound within which a change can still be
// heard before it counts as told, and not in step with other coordinators.
func (n *Coordinator) backoff() time.Duration {
	n.refused++
	pause := min(backoffMost, backoffLeast<<min(n.refused-1, 4))
	return pause/2 + n.spread(pause)
}

// spread draws a pause of up to so long.
func (n *Coordinator) spread(most time.Duration) time.Duration {
	return time.Duration(n.random.Int64N(int64(most)))
}

func (n *Coordinator) endWatches() {
	for number := range n.watches {
		n.cancelWatch(number)
	}
}

func (n *Coordinator) endWhole() {
	if n.whole != nil {
		n.whole()
		n.whole = nil
	}
}
