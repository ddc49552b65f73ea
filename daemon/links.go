package daemon

import (
	"fmt"
	"net/http"

	"github.com/puzpuzpuz/xsync/v4"

	"porthub/coordinator"
	"porthub/policyapi"
	"porthub/xds"
)

// submit gives the core what a gateway sent, after GatewayConnected if it is the first message of its link, and calls done
// once the core has taken it. input makes the core's input, given the gateway's link. A connection keeps the gateway that it
// began with. A gateway that polls may have several connections: the first that is open is its link.
func (x *exchange) submit(node xds.Node, input func(link coordinator.ConnID) coordinator.Input, done func()) {
	s, p := x.server, x.connection
	name := coordinator.Gateway(node.Name)
	if p.gateway != "" && p.gateway != name {
		x.fail(http.StatusConflict, fmt.Sprintf("this connection is %s's", p.gateway))
		return
	}
	if node.Polls && !s.daemon.config.Delivery.Poll.Enabled {
		x.fail(http.StatusNotImplemented, "polling is off: front.poll.enabled")
		return
	}
	if p.gateway == "" {
		p.polls = node.Polls
	}
	link, ok := s.claimLink(name, p)
	if !ok {
		x.fail(http.StatusConflict, fmt.Sprintf("%s has a link by the other front: one name, one gateway", name))
		return
	}
	var inputs []coordinator.Input
	if link == p && !p.announced {
		inputs = append(inputs, coordinator.GatewayConnected{Gateway: name, Conn: p.id, Zone: policyapi.Zone(node.Zone),
			HasDefaultTableOnly: node.InitialTable, Weight: node.UsualRate})
	}
	inputs = append(inputs, input(link.id))
	if !s.daemon.inbox.TryPut(mailboxItem{inputs: inputs, reply: func([]byte) { done() }}) {
		if link == p && !p.announced {
			s.removeLink(name, p)
		}
		x.fail(http.StatusServiceUnavailable, busyReason)
		return
	}
	p.announced = p.announced || link == p
	p.gateway = name
}

// claimLink returns the connection that is a gateway's link, p itself if there is none yet. It is settled in one go: two polls
// of one gateway may come at once, on two event loops, and must not each replace the other. ok is false if the gateway's link
// is of the other way of delivery.
func (s *server) claimLink(name coordinator.Gateway, p *connection) (link *connection, ok bool) {
	ok = true
	link, _ = s.links.Compute(name, func(open *connection, exists bool) (*connection, xsync.ComputeOp) {
		switch {
		case !exists || open == p:
			return p, xsync.UpdateOp
		case open.polls != p.polls:
			ok = false
			return open, xsync.CancelOp
		case open.polls:
			return open, xsync.CancelOp
		default: // a later link of a gateway that reads files
			return p, xsync.UpdateOp
		}
	})
	return link, ok
}

// removeLink has a connection be its gateway's link no longer, if it is that.
func (s *server) removeLink(name coordinator.Gateway, p *connection) {
	s.links.Compute(name, func(open *connection, exists bool) (*connection, xsync.ComputeOp) {
		if exists && open == p {
			return nil, xsync.DeleteOp
		}
		return open, xsync.CancelOp
	})
}

// polls tells whether a gateway's link is one that polls.
func (s *server) polls(gateway coordinator.Gateway) bool {
	link, ok := s.links.Load(gateway)
	return ok && link.polls
}
