package daemon

import (
	"fmt"
	"net/http"

	"github.com/puzpuzpuz/xsync/v4"

	"porthub/coordinator"
	"porthub/policyapi"
	"porthub/xds"
)

// submit queues a gateway's message for the core, after a GatewayConnected if it is the first message of the gateway's link, and
// calls done once the core has processed it. input makes the core's input from the ID of the gateway's link. A connection belongs
// to the gateway that first used it. A gateway that polls may have several connections: the first open one is its link.
func (x *exchange) submit(node xds.Node, input func(link coordinator.ConnID) coordinator.Input, done func()) {
	server := x.server
	conn := x.connection
	name := coordinator.Gateway(node.Name)
	if conn.gateway != "" && conn.gateway != name {
		x.fail(http.StatusConflict, fmt.Sprintf("this connection belongs to gateway %s", conn.gateway))
		return
	}
	if node.Polls && !server.daemon.config.Delivery.Poll.Enabled {
		x.fail(http.StatusNotImplemented, "polling is disabled: set front.poll.enabled")
		return
	}
	if conn.gateway == "" {
		conn.polls = node.Polls
	}
	link, ok := server.claimLink(name, conn)
	if !ok {
		x.fail(http.StatusConflict, fmt.Sprintf("%s is already connected with the other delivery method: give each gateway a unique name", name))
		return
	}
	var inputs []coordinator.Input
	if link == conn && !conn.announced {
		inputs = append(inputs, coordinator.GatewayConnected{Gateway: name, Conn: conn.id, Zone: policyapi.Zone(node.Zone),
			HasDefaultTableOnly: node.InitialTable, Weight: node.UsualRate})
	}
	inputs = append(inputs, input(link.id))
	if !server.daemon.mailbox.TryPut(mailboxItem{inputs: inputs, reply: func([]byte) { done() }}) {
		if link == conn && !conn.announced {
			server.removeLink(name, conn)
		}
		x.fail(http.StatusServiceUnavailable, busyReason)
		return
	}
	conn.announced = conn.announced || link == conn
	conn.gateway = name
}

// claimLink returns the connection that is a gateway's link, and makes conn the link if there is none yet or if the gateway,
// which reads files, has connected again. It is atomic: two polls of one gateway may arrive at the same time on two event loops,
// and must not replace each other. ok is false if the gateway's link uses the other delivery method.
func (s *server) claimLink(name coordinator.Gateway, conn *connection) (link *connection, ok bool) {
	ok = true
	link, _ = s.links.Compute(name, func(open *connection, exists bool) (*connection, xsync.ComputeOp) {
		switch {
		case !exists || open == conn:
			return conn, xsync.UpdateOp
		case open.polls != conn.polls:
			ok = false
			return open, xsync.CancelOp
		case open.polls:
			return open, xsync.CancelOp
		default: // a gateway that reads files has connected again
			return conn, xsync.UpdateOp
		}
	})
	return link, ok
}

// removeLink removes a gateway's link if conn is the link.
func (s *server) removeLink(name coordinator.Gateway, conn *connection) {
	s.links.Compute(name, func(open *connection, exists bool) (*connection, xsync.ComputeOp) {
		if exists && open == conn {
			return nil, xsync.DeleteOp
		}
		return open, xsync.CancelOp
	})
}

// polls reports whether a gateway has a link and gets its tables by polls.
func (s *server) polls(gateway coordinator.Gateway) bool {
	link, ok := s.links.Load(gateway)
	return ok && link.polls
}
