package xdspoll

import (
	"fmt"
	"strings"
	"sync"

	"porthub/routing"
	"porthub/xds"
)

// maxSharedEntries bounds the shared responses: a fleet's groups of gateways, each from a few earlier states.
const maxSharedEntries = 512

// sharedEntry is a response with the clusters that it was built from. As long as the entry exists the clusters do, so no
// others can be at their addresses.
type sharedEntry struct {
	from     []routing.Cluster
	to       []routing.Cluster
	once     sync.Once
	response *xds.SharedResponse
	err      error
}

// sharedResponse builds a response once for all gateways that go from the same clusters to the same. The core passes the
// same slices to all gateways of one zone with one table, so the address of a slice is its identity.
func (h *Hub) sharedResponse(from, to []routing.Cluster, build func() (*xds.SharedResponse, error)) (*xds.SharedResponse, error) {
	entry := &sharedEntry{from: from, to: to}
	if cached, ok, _ := h.responses.PeekOrAdd(sharedKey(from, to), entry); ok {
		entry = cached
	}
	entry.once.Do(func() { entry.response, entry.err = build() })
	return entry.response, entry.err
}

func sharedKey(from, to []routing.Cluster) string {
	var key strings.Builder
	for _, clusters := range [][]routing.Cluster{from, to} {
		for _, cluster := range clusters {
			fmt.Fprintf(&key, "%p %d %s ", cluster.Endpoints, len(cluster.Endpoints), cluster.Class)
		}
		key.WriteByte('>')
	}
	return key.String()
}
