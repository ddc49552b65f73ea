package xdspoll

import (
	"fmt"
	"strings"
	"sync"

	"porthub/routing"
	"porthub/xds"
)

// maxSharedEntries limits the number of cached responses. A fleet needs one for each group of gateways with the same tables
// and each of the few earlier states that these gateways have.
const maxSharedEntries = 512

// sharedEntry is a cached response and the clusters that it was built from. The entry keeps the clusters in memory, so that
// their addresses, which identify them in the key, can't be reused.
type sharedEntry struct {
	from     []routing.Cluster
	to       []routing.Cluster
	once     sync.Once
	response *xds.SharedResponse
	err      error
}

// sharedResponse builds a response once for all gateways that have the same clusters and need the same new ones. The core
// passes the same slices to all gateways of one zone with one table, so the address of a slice identifies its content.
func (h *Hub) sharedResponse(from, to []routing.Cluster, build func() (*xds.SharedResponse, error)) (*xds.SharedResponse, error) {
	entry := &sharedEntry{from: from, to: to}
	if cached, ok, _ := h.responses.PeekOrAdd(sharedKey(from, to), entry); ok {
		entry = cached
	}
	entry.once.Do(func() { entry.response, entry.err = build() })
	return entry.response, entry.err
}

// sharedKey returns the cache key of a response, made of the addresses of its clusters.
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
