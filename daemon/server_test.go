package daemon

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"porthub/client"
	"porthub/config"
	"porthub/coordinator"
	"porthub/policyapi"
	"porthub/xds"
)

// postText posts a body and returns the response's status and text.
func (r *testDaemon) postText(path, body string) (status int, text string) {
	r.t.Helper()
	response, err := http.Post("http://"+r.daemon.Addr()+path, "application/json", strings.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	defer response.Body.Close()
	all, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(all)
}

// dialAndSend opens a connection and sends a text. The connection is closed when the test ends.
func (r *testDaemon) dialAndSend(text string) net.Conn {
	r.t.Helper()
	c, err := net.Dial("tcp", r.daemon.Addr())
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		r.t.Fatal(err)
	}
	return c
}

// Peers that send malformed, too large or incomplete requests get an error response or are disconnected. Other peers are served
// meanwhile.
func TestMalformedAndSlowRequests(t *testing.T) {
	r := startTestDaemon(t, nil)
	t.Run("malformed bodies", func(t *testing.T) { testMalformedBodies(t, r) })
	t.Run("malformed heads and sizes", func(t *testing.T) { testMalformedHeads(t, r) })
	t.Run("incomplete request", func(t *testing.T) {
		slow := r.dialAndSend("POST /v3/disc")
		g := r.connectGateway("gw-1", "a") // must be served meanwhile
		r.waitFor("tables while another peer's request is incomplete", func() bool { g.sync(t); return g.state.Snapshot.OpenEndpoints("view") > 0 })
		_ = slow.SetReadDeadline(time.Now().Add(50 * time.Second))
		if _, err := slow.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("read from the connection with an incomplete request: %v, want EOF", err)
		}
	})
	t.Run("pipelined requests", func(t *testing.T) { testPipelinedRequests(t, r) })
}

func testMalformedBodies(t *testing.T, r *testDaemon) {
	for _, c := range []struct {
		path, body string
		code       int
		answer     string
	}{
		{xds.LoadReportPath, `{"node": {"id": "gw"`, 400, "LoadStatsRequest"},
		{xds.LoadReportPath, `[1, 2]`, 400, "no xDS message"},
		{xds.LoadReportPath, `{"cluster_stats": []}`, 400, "node.id"},
		{xds.LoadReportPath, `{"node": {"id": "../../etc"}}`, 400, "node.id"},
		{xds.EndpointPath, `{"node": {"id": ".hidden"}}`, 400, "dot"},
		{xds.EndpointPath, `nonsense`, 400, "DiscoveryRequest"},
		{"/elsewhere", `{}`, 404, "/elsewhere"},
	} {
		if code, answer := r.postText(c.path, c.body); code != c.code || !strings.Contains(answer, c.answer) {
			t.Errorf("%s %s: got %d %q, want %d with %q in the body", c.path, c.body, code, answer, c.code, c.answer)
		}
	}
}

func testMalformedHeads(t *testing.T, r *testDaemon) {
	for _, c := range []struct{ name, text, want string }{
		{"body too large", "POST " + xds.LoadReportPath + " HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n", "413"},
		{"head too large", strings.Repeat("garbage ", 4000), "431"},
		{"malformed head", "GARBAGE\r\n\r\n", "400"},
	} {
		conn := r.dialAndSend(c.text)
		answer := make([]byte, 512)
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		n, _ := conn.Read(answer)
		if !strings.Contains(string(answer[:n]), c.want) {
			t.Errorf("%s: got response %q, want status %s", c.name, answer[:n], c.want)
		}
	}
}

// testPipelinedRequests sends requests without waiting for responses: all of them must be answered.
func testPipelinedRequests(t *testing.T, r *testDaemon) {
	const requests = 50
	c := r.dialAndSend(strings.Repeat("GET /nothing HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", requests))
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	var all strings.Builder
	buf := make([]byte, 4096)
	for strings.Count(all.String(), "404 Not Found") < requests {
		n, err := c.Read(buf)
		all.Write(buf[:n])
		if err != nil {
			t.Fatalf("got %d responses of %d, then %v", strings.Count(all.String(), "404 Not Found"), requests, err)
		}
	}
}

// A second connection under a gateway's name replaces the first one as the gateway's link. The end of the first connection does
// not disconnect the gateway.
func TestSecondConnectionReplacesTheFirst(t *testing.T) {
	r := startTestDaemon(t, nil)
	first := r.connectGateway("gw-1", "a")
	r.waitFor("the first connection to get tables", func() bool { first.sync(t); return r.status("gw-1").Connected && first.state.EndpointVersion != "" })
	second := r.connectGateway("gw-1", "a")
	r.waitFor("the second connection to get tables", func() bool {
		second.sync(t)
		s := r.status("gw-1")
		return s.Connected && s.Unacknowledged == 0 && second.state.EndpointVersion == s.Confirmed[0]
	})
}

// Connections over the limit of an address are rejected until another one has ended. A connection that exceeds its limit of
// requests is closed.
func TestConnectionLimits(t *testing.T) {
	r := startTestDaemon(t, nil, func(c *config.Config) { c.Limits.PerAddress, c.Limits.Requests = 3, 4 })
	dial := func() net.Conn {
		c, err := net.Dial("tcp", r.daemon.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	readers := map[net.Conn]*bufio.Reader{}
	request := func(c net.Conn) string {
		if readers[c] == nil {
			readers[c] = bufio.NewReader(c)
		}
		_, _ = io.WriteString(c, "GET /tables/versions HTTP/1.1\r\nHost: x\r\n\r\n")
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		res, err := http.ReadResponse(readers[c], nil)
		if err != nil {
			return err.Error()
		}
		defer res.Body.Close()
		_, _ = io.Copy(io.Discard, res.Body)
		return res.Status
	}
	first := dial()
	for i := range 4 {
		if status := request(first); !strings.Contains(status, "200") {
			t.Fatalf("request %d: got %q, want 200", i, status)
		}
	}
	second, third := dial(), dial()
	if !strings.Contains(request(second), "200") || !strings.Contains(request(third), "200") {
		t.Error("requests on the second and third connection of an address did not both get 200; the limit is three")
	}
	if status := request(dial()); !strings.Contains(status, "503") {
		t.Errorf("fourth connection: got %q, want 503", status)
	}
	if status := request(first); !strings.Contains(status, "429") {
		t.Errorf("fifth request on the first connection: got %q, want 429", status)
	}
	r.waitFor("another connection to be accepted", func() bool { return strings.Contains(request(dial()), "200") })
}

// pollingGateway is a gateway that gets its tables by polls for both documents and acknowledges them.
type pollingGateway struct {
	link *client.Link

	mu    sync.Mutex // guards state
	state client.Tables
}

func (r *testDaemon) connectPollingGateway(name, zone string) *pollingGateway {
	r.t.Helper()
	node := xds.Node{Name: name, Zone: zone, UsualRate: 10, Polls: true}
	g := &pollingGateway{link: client.NewLink(client.Options{Node: node, Coordinator: r.daemon.Addr()})}
	r.t.Cleanup(g.link.Close)
	if err := g.link.Join(context.Background(), client.Tables{}); err != nil {
		r.t.Fatal(err)
	}
	poller := client.NewPoller(client.Options{Node: node, Coordinator: r.daemon.Addr()}, []string{"view", "save"}, time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	var polls sync.WaitGroup
	r.t.Cleanup(func() { cancel(); polls.Wait(); poller.Close() })
	for _, document := range []coordinator.Document{coordinator.EndpointsDocument, coordinator.RoutesDocument} {
		polls.Go(func() {
			poller.Follow(ctx, document, g.tables, func(u client.Update) {
				if err := g.link.Acknowledge(ctx, u, g.apply(u)); err != nil && ctx.Err() == nil {
					r.t.Error(err)
				}
			})
		})
	}
	return g
}

func (g *pollingGateway) tables() client.Tables {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state
}

func (g *pollingGateway) apply(u client.Update) client.Tables {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.Apply(u)
	return g.state
}

func (g *pollingGateway) report(t *testing.T) {
	t.Helper()
	if _, err := g.link.Report(context.Background(), 250*time.Millisecond, []xds.ClassReport{{Class: "view", Arrived: 2}}); err != nil {
		t.Error(err)
	}
}

// isOpen reports whether a table has an endpoint that is not withheld.
func isOpen(tables client.Tables, id policyapi.EndpointID) bool {
	for _, cluster := range tables.Snapshot.Clusters {
		for _, endpoint := range cluster.Endpoints {
			if endpoint.Endpoint == id && !endpoint.Withheld {
				return true
			}
		}
	}
	return false
}

// A gateway that polls gets complete tables and deltas, which reflect a removed endpoint, and no files. A gateway that reads
// files can't connect under the same name. When the link ends, another connection of the gateway becomes its link.
func TestPollingGateway(t *testing.T) {
	r := startTestDaemon(t, nil)
	g := r.connectPollingGateway("gw-1", "a")
	r.waitFor("acknowledged tables by polls", func() bool {
		g.report(t)
		s := r.status("gw-1")
		tables := g.tables().Snapshot
		return tables.OpenEndpoints("view") >= 2 && len(tables.Routes) == 2 && s.Unacknowledged == 0 && s.Confirmed[0] != ""
	})
	if _, err := os.Stat(filepath.Join(r.dir, "tables", "gw-1")); !os.IsNotExist(err) {
		t.Errorf("the directory of a polling gateway's files: %v, want that it does not exist", err)
	}
	other := client.NewLink(client.Options{Node: xds.Node{Name: "gw-1", Zone: "a"}, Coordinator: r.daemon.Addr()})
	t.Cleanup(other.Close)
	if err := other.Join(context.Background(), client.Tables{}); err == nil || !strings.Contains(err.Error(), "409") {
		t.Errorf("joining with file delivery under the name of a polling gateway: %v, want 409", err)
	}
	r.write("nodes.json", strings.Replace(threeEndpoints, `"127.0.0.1:9001", `, "", 1))
	r.waitFor("tables without the removed endpoint", func() bool {
		g.report(t)
		return !isOpen(g.tables(), "127.0.0.1:9001")
	})
	since := r.status("gw-1").Since
	g.link.Close()
	r.waitFor("a polling connection to become the link", func() bool {
		s := r.status("gw-1")
		return s.Connected && s.Since > since
	})
}

// The PeerRejected input for an incomplete request has the peer's address in From and the reason in Reason. (Regression: the two
// were swapped.)
func TestIncompleteRequestNamesItsPeer(t *testing.T) {
	r := startTestDaemon(t, nil)
	c := r.dialAndSend("GET /nothing HT")
	r.waitFor("the rejection", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, step := range r.steps {
			for _, in := range step.inputs {
				if rejected, is := in.(coordinator.PeerRejected); is {
					if rejected.From != c.LocalAddr().String() || rejected.Reason != "incomplete request" {
						t.Errorf("got %+v, want the reason \"incomplete request\" from %s", rejected, c.LocalAddr())
					}
					return true
				}
			}
		}
		return false
	})
}
