package xdspoll

import (
	"porthub/coordinator"
	"porthub/routing"
	"porthub/xds"
)

// respond responds to a poll with the gateway's last publication.
func (h *Hub) respond(r Request) {
	h.mu.Lock()
	g := h.gateway(r.Gateway)
	response := &Response{Version: g.version[r.Document], Nonce: g.publication.Nonce}
	to := g.publication.Snapshot
	from, hasBase := g.byNonce[r.Nonce]
	hasBase = hasBase && r.Nonce != ""
	h.mu.Unlock()

	var resources int
	var err error
	switch {
	case !r.Delta:
		response.SharedResponse, resources, err = h.document(r.Document, to)
	case hasBase:
		response.SharedResponse, err = h.deltaFrom(r.Document, from.snapshot, to)
	case r.Nonce != "" && r.Versions == nil:
		err = ErrUnknownBase
	default:
		response.SharedResponse, err = deltaFromVersions(r.Document, r.Versions, to)
	}
	if err != nil {
		r.Respond(nil, err)
		return
	}
	if r.Delta {
		resources = response.ResourceCount()
	}
	h.countResponse(r.Delta, resources)
	r.Respond(response, nil)
}

func (h *Hub) countResponse(delta bool, resources int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stats.Resources += resources
	if delta {
		h.stats.Deltas++
	} else {
		h.stats.Documents++
	}
}

// document returns a complete document and the number of its endpoints or routes.
func (h *Hub) document(document coordinator.Document, to routing.Snapshot) (*xds.SharedResponse, int, error) {
	if document != coordinator.EndpointsDocument {
		response, err := xds.ShareRouteDocument(to.Routes)
		return response, len(to.Routes), err
	}
	endpoints := 0
	for _, cluster := range to.Clusters {
		endpoints += len(cluster.Endpoints)
	}
	response, err := h.sharedResponse(nil, to.Clusters, func() (*xds.SharedResponse, error) {
		return xds.ShareEndpointDocument(to.Clusters)
	})
	return response, endpoints, err
}

// deltaFrom returns the changes of a document between two snapshots.
func (h *Hub) deltaFrom(document coordinator.Document, from, to routing.Snapshot) (*xds.SharedResponse, error) {
	if document == coordinator.RoutesDocument {
		return xds.ShareRouteDelta(xds.RouteVersions(from), to)
	}
	return h.sharedResponse(from.Clusters, to.Clusters, func() (*xds.SharedResponse, error) {
		return xds.ShareEndpointDelta(xds.EndpointVersions(from), to)
	})
}

// deltaFromVersions returns the changes of a document from the resource versions that a gateway has to a snapshot.
func deltaFromVersions(document coordinator.Document, versions map[string]string, to routing.Snapshot) (*xds.SharedResponse, error) {
	if document == coordinator.RoutesDocument {
		return xds.ShareRouteDelta(versions, to)
	}
	return xds.ShareEndpointDelta(versions, to)
}
