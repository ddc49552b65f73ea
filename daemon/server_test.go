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
	"porthub/xds"
)

// Peers that send malformed requests, too much or too slowly get a clear error or are closed, and no other waits for them.
func TestMalformedAndSlowRequests(t *testing.T) {
	r := startTestDaemon(t, nil)
	post := func(path, body string) (int, string) {
		res, err := http.Post("http://"+r.daemon.Addr()+path, "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		text, _ := io.ReadAll(res.Body)
		return res.StatusCode, string(text)
	}
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
		if code, answer := post(c.path, c.body); code != c.code || !strings.Contains(answer, c.answer) {
			t.Errorf("%s %s: %d %q", c.path, c.body, code, answer)
		}
	}
	raw := func(text string) (net.Conn, string) {
		c, err := net.Dial("tcp", r.daemon.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
		answer := make([]byte, 512)
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		n, _ := c.Read(answer)
		return c, string(answer[:n])
	}
	if _, answer := raw("POST " + xds.LoadReportPath + " HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n"); !strings.Contains(answer, "413") {
		t.Errorf("body too large: %q", answer)
	}
	if _, answer := raw(strings.Repeat("garbage ", 4000)); !strings.Contains(answer, "431") {
		t.Errorf("head too large: %q", answer)
	}
	if _, answer := raw("GARBAGE\r\n\r\n"); !strings.Contains(answer, "400") {
		t.Errorf("malformed head: %q", answer)
	}
	slow, err := net.Dial("tcp", r.daemon.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	_, _ = io.WriteString(slow, "POST /v3/disc")
	g := r.connectGateway("gw-1", "a") // is served meanwhile
	r.waitFor("tables in spite of the bad peers", func() bool { g.sync(t); return g.state.Snapshot.OpenEndpoints("view") > 0 })
	_ = slow.SetReadDeadline(time.Now().Add(50 * time.Second))
	if _, err := slow.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("a request that never ends: %v, want it closed", err)
	}
	// One that sends its requests without waiting for answers gets all of them, in order.
	c, err := net.Dial("tcp", r.daemon.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	const requests = 50
	_, _ = io.WriteString(c, strings.Repeat("GET /nothing HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", requests))
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	var all strings.Builder
	buf := make([]byte, 4096)
	for strings.Count(all.String(), "404 Not Found") < requests {
		n, err := c.Read(buf)
		all.Write(buf[:n])
		if err != nil {
			t.Fatalf("%d answers of %d, then %v", strings.Count(all.String(), "404 Not Found"), requests, err)
		}
	}
}

// A second connection under a name replaces the first; the first is closed, and its end disconnects nothing.
func TestSecondConnectionReplacesTheFirst(t *testing.T) {
	r := startTestDaemon(t, nil)
	first := r.connectGateway("gw-1", "a")
	r.waitFor("the first to be connected with tables", func() bool { first.sync(t); return r.status("gw-1").Connected && first.state.EndpointVersion != "" })
	second := r.connectGateway("gw-1", "a")
	r.waitFor("the second to be connected with tables", func() bool {
		second.sync(t)
		s := r.status("gw-1")
		return s.Connected && s.Unacknowledged == 0 && second.state.EndpointVersion == s.Confirmed[0]
	})
}

// More connections than an address may have are rejected, until another has ended; a connection that has had its requests is
// closed.
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
			t.Fatalf("request %d: %q", i, status)
		}
	}
	second, third := dial(), dial()
	if !strings.Contains(request(second), "200") || !strings.Contains(request(third), "200") {
		t.Error("three connections are allowed, and not served")
	}
	if status := request(dial()); !strings.Contains(status, "503") {
		t.Errorf("a fourth connection: %q", status)
	}
	if status := request(first); !strings.Contains(status, "429") {
		t.Errorf("a fifth request: %q", status)
	}
	r.waitFor("another connection to be admitted", func() bool { return strings.Contains(request(dial()), "200") })
}

// A gateway that polls gets complete tables and deltas, follows a removal, and shares its name with no gateway of files.
func TestPollingGateway(t *testing.T) {
	r := startTestDaemon(t, nil)
	node := xds.Node{Name: "gw-1", Zone: "a", UsualRate: 10, Polls: true}
	link := client.NewLink(client.Options{Node: node, Coordinator: r.daemon.Addr()})
	t.Cleanup(link.Close)
	if err := link.Join(context.Background(), client.Tables{}); err != nil {
		t.Fatal(err)
	}
	poller := client.NewPoller(client.Options{Node: node, Coordinator: r.daemon.Addr()}, []string{"view", "save"}, time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	var polls sync.WaitGroup
	t.Cleanup(func() { cancel(); polls.Wait(); poller.Close() })
	var mu sync.Mutex
	var state client.Tables
	current := func() client.Tables { mu.Lock(); defer mu.Unlock(); return state }
	for _, document := range []coordinator.Document{coordinator.EndpointsDocument, coordinator.RoutesDocument} {
		polls.Add(1)
		go func() {
			defer polls.Done()
			poller.Follow(ctx, document, current, func(u client.Update) {
				mu.Lock()
				state.Apply(u)
				now := state
				mu.Unlock()
				if err := link.Acknowledge(ctx, u, now); err != nil && ctx.Err() == nil {
					t.Error(err)
				}
			})
		}()
	}
	report := func() {
		if _, err := link.Report(context.Background(), 250*time.Millisecond, []xds.ClassReport{{Class: "view", Arrived: 2}}); err != nil {
			t.Error(err)
		}
	}
	r.waitFor("tables by polls, acknowledged", func() bool {
		report()
		s := r.status("gw-1")
		return current().Snapshot.OpenEndpoints("view") >= 2 && len(current().Snapshot.Routes) == 2 && s.Unacknowledged == 0 && s.Confirmed[0] != ""
	})
	if _, err := os.Stat(filepath.Join(r.dir, "tables", "gw-1")); !os.IsNotExist(err) {
		t.Errorf("it polls, and has files: %v", err)
	}
	other := client.NewLink(client.Options{Node: xds.Node{Name: "gw-1", Zone: "a"}, Coordinator: r.daemon.Addr()})
	t.Cleanup(other.Close)
	if err := other.Join(context.Background(), client.Tables{}); err == nil || !strings.Contains(err.Error(), "409") {
		t.Errorf("a gateway of files under the same name: %v", err)
	}
	r.write("nodes.json", strings.Replace(threeEndpoints, `"127.0.0.1:9001", `, "", 1))
	r.waitFor("tables without the removed endpoint", func() bool {
		report()
		for _, c := range current().Snapshot.Clusters {
			for _, l := range c.Endpoints {
				if l.Endpoint == "127.0.0.1:9001" && !l.Withheld {
					return false
				}
			}
		}
		return true
	})
	since := r.status("gw-1").Since
	link.Close()
	r.waitFor("a poll to become the link", func() bool {
		s := r.status("gw-1")
		return s.Connected && s.Since > since
	})
}
