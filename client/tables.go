package client

import (
	"fmt"
	"time"

	"porthub/routing"
	"porthub/xds"
)

// Tables holds a gateway's current routing tables. The zero value has no tables.
type Tables struct {
	Snapshot        routing.Snapshot
	EndpointVersion string // version of the applied clusters; empty if there are none
	RouteVersion    string // version of the applied routes; empty if there are none
	Applied         int    // documents applied
	Rejected        int    // documents that could not be decoded
}

// Update is a document that was read from a file or received in response to a poll.
type Update struct {
	Source   string // path of the file, or HTTP path of the poll
	Document xds.Document
	Err      error         // why the document could not be read; the tables stay unchanged
	Written  time.Time     // modification time of the file, or time at which the poll's response was received
	Size     int           // in bytes
	Elapsed  time.Duration // time for reading and decoding, including the wait of a poll; 0 for deltas
}

func (u Update) String() string {
	return fmt.Sprintf("%s: %s, %d bytes, %v", u.Source, u.Document.Version, u.Size, u.Err)
}

// Apply replaces the clusters or routes with those of the update. An invalid update changes only the count of rejected
// documents.
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

// identify sets the fields of a node that describe the applied tables.
func (t *Tables) identify(node *xds.Node) {
	node.InitialTable = t.EndpointVersion == ""
	node.Checksum = 0
	if t.EndpointVersion != "" && t.RouteVersion != "" {
		node.Checksum = routing.Checksum(t.Snapshot)
		node.Versions = [routing.DocumentCount]string{t.EndpointVersion, t.RouteVersion}
	}
}
