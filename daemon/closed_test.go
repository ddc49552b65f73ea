package daemon

import (
	"fmt"
	"net"
	"testing"
	"time"

	"porthub/config"
	"porthub/xds"
)

// sendAndClose sends a request while the core is busy, and closes the connection once the request waits for the core.
func (r *testDaemon) sendAndClose(path string, body []byte) {
	r.t.Helper()
	server := r.daemon.server
	conn, err := net.Dial("tcp", r.daemon.Addr())
	if err != nil {
		r.t.Fatal(err)
	}
	request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
	if _, err := conn.Write([]byte(request)); err != nil {
		r.t.Fatal(err)
	}
	r.waitFor("the request to be read", func() bool {
		busy := false
		for _, c := range server.connections.All() {
			busy = busy || c.busy.Load()
		}
		return busy
	})
	_ = conn.Close()
	r.waitFor("the end of the connection", func() bool { return server.connections.Size() == 0 })
}

// An operator's command whose connection has ended before the core carries it out has no effect: the operator was not told that it had.
func TestCommandOfClosedConnectionHasNoEffect(t *testing.T) {
	r := startTestDaemon(t, nil)
	r.waitFor("the endpoints", func() bool { return len(r.endpointDecisions().Decisions) == 3 })
	r.waitFor("no other connection", r.closeIdleConnections)
	blocked := make(chan struct{})
	unblock := r.blockCore(blocked)
	defer unblock()
	<-blocked
	r.sendAndClose("/nodes/drain", []byte(`{"node": "127.0.0.1:9001", "reason": "maintenance"}`))
	unblock()
	for _, e := range r.endpointDecisions().Decisions {
		for _, observation := range e.Observations {
			if observation.Source == "operator" {
				t.Errorf("%s: %s, want no drain", e.Endpoint, observation.Text)
			}
		}
	}
	if response := r.post("/nodes/drain", EndpointRequest{Endpoint: "127.0.0.1:9001", Reason: "maintenance"}); response.Error != "" {
		t.Errorf("the same command on an open connection: %s", response.Error)
	}
}

// A poll whose connection has ended before it becomes pending takes none of the places of pending polls.
func TestPollOfClosedConnectionIsNotPending(t *testing.T) {
	r := startTestDaemon(t, nil, func(c *config.Config) { c.Registry.File.Path = "" })
	blocked := make(chan struct{})
	unblock := r.blockCore(blocked)
	defer unblock()
	<-blocked
	node := xds.Node{Name: "gw-1", Zone: "a", Polls: true, MaxWait: 20 * time.Second}
	body, err := xds.Encode(xds.NewAcknowledgement(node, xds.EndpointType, "", "", ""))
	if err != nil {
		t.Fatal(err)
	}
	r.sendAndClose(xds.EndpointPath, body)
	unblock()
	r.endpointDecisions() // is answered after the poll was handled
	if pending := r.daemon.polls.Stats().Pending; pending != 0 {
		t.Errorf("%d polls are pending, want none", pending)
	}
}
