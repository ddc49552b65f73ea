package client

import (
	"fmt"
	"time"

	"porthub/routing"
	"porthub/xds"
)

// Tables are a gateway's current routing tables. The zero value has none.
type Tables struct {
	Snapshot        routing.Snapshot
	EndpointVersion string // of the clusters; empty: none was applied
	RouteVersion    string // of the routes; empty: none was applied
	Applied         int    // documents applied
	Rejected        int    // documents that could not be decoded
}

// Update is one document that was received.
type Update struct {
	Source   string // path of the file, or of the poll
	Document xds.Document
	Err      error         // why the document is invalid; the tables stay as they are
	Written  time.Time     // modification time of the file, or when the response to the poll came
	Size     int           // bytes
	Elapsed  time.Duration // for reading and decoding
}

func (u Update) String() string {
	return fmt.Sprintf("%s: %s, %d bytes, %v", u.Source, u.Document.Version, u.Size, u.Err)
}

// Apply replaces the part of the tables that the update holds. An invalid update changes nothing but the count.
func (t *Tables) Apply(u Update) {
	if u.Err != nil {
		t.Rejected++
		return
	}
	t.Applied++
	switch u.Document.Type {
	case xds.EndpointType:
		t.Snapshot.Clusters = u.Document.Clusters
		t.EndpointVersion = u.Document.Version
	case xds.RouteType:
		t.Snapshot.Routes = u.Document.Routes
		t.RouteVersion = u.Document.Version
	}
}

// identify adds to the node what it has applied.
func (t *Tables) identify(node *xds.Node) {
	node.InitialTable = t.EndpointVersion == ""
	node.Checksum = 0
	if t.EndpointVersion != "" && t.RouteVersion != "" {
		node.Checksum = routing.Checksum(t.Snapshot)
		node.Versions = [routing.DocumentCount]string{t.EndpointVersion, t.RouteVersion}
	}
}
