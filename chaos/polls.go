package chaos

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"

	"porthub/audit"
	"porthub/config"
	"porthub/emulator"
	"porthub/xds"
)

// PollResult is what came of waking many held polls at once.
type PollResult struct {
	Gateways  int `json:"gateways"`
	Endpoints int `json:"nodes"`
	Polls     int `json:"polls"` // two for each gateway, a connection each
	// ConnectSeconds is how long it took until every gateway held its tables, seconds.
	ConnectSeconds float64 `json:"joined_s"`
	// KiBPerPoll of the coordinator for each held poll, from before the first to when all are held.
	KiBPerPoll float64 `json:"kib_per_poll"`
	// Wake is from a drain's standing in the node list to each gateway's having been told, of those that held the node.
	Holders     int     `json:"holders"`
	Wake        Latency `json:"wake_ms"`
	MaxWake     float64 `json:"wake_most_ms"`
	Woken       int     `json:"woken"`
	Disconnects int     `json:"broke"` // connections that broke meanwhile and were dialled again
}

// RunPolls starts a coordinator, has gateways poll for endpoints and routes, and drains a node once all are held.
func RunPolls(exe []string, gateways, nodes int) (res PollResult, err error) {
	res.Gateways, res.Polls, res.Endpoints = gateways, 2*gateways, nodes
	dir, err := os.MkdirTemp(scratch(), "porthub-polls-")
	if err != nil {
		return res, err
	}
	defer os.RemoveAll(dir)
	s := defaultScenario()
	s.GatewayCount = gateways
	f := &fleet{s: s, dir: dir, log: audit.NewLog(limits(s))}
	f.world = emulator.NewWorld(f.log, emulator.WarmUpRules{}, 1)
	logs, err := os.Create(filepath.Join(dir, "coordinator.log"))
	if err != nil {
		return res, err
	}
	defer logs.Close()
	cfg := s.Config(dir, "127.0.0.1:0", 1)
	cfg.Rules.QueueLimit, cfg.Gateways.SilenceTimeout = float64(400*gateways), 120_000_000
	cfg.Delivery.Poll.MaxWait, cfg.Delivery.Poll.MaxPending = 60_000_000, 4*gateways
	cfg.Limits = config.Limits{Connections: 4 * gateways, PerAddress: 4 * gateways}
	list := func(status string) error {
		var groups []map[string]any
		for i := range nodes {
			labels := map[string]string{"zone": s.Zones[i%3], "machine": "std", "launched": "0"}
			if i == 0 {
				labels["status"] = status
			}
			groups = append(groups, map[string]any{"targets": []string{fmt.Sprintf("127.0.0.1:%d", 1+i)}, "labels": labels})
		}
		text, err := json.Marshal(groups)
		if err != nil {
			return err
		}
		path := filepath.Join(dir, "nodes.json")
		if err := os.WriteFile(path+".new", text, 0o644); err != nil {
			return err
		}
		return os.Rename(path+".new", path)
	}
	if err := list("ready"); err != nil {
		return res, err
	}
	coord := &coordinatorProcess{f: f, cfg: cfg, exe: exe, logs: logs}
	if err := coord.start(); err != nil {
		return res, err
	}
	defer coord.end(syscall.SIGTERM)
	before := residentOf(coord.cmd.Process.Pid)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w := &pollWatch{held: map[int]bool{}}
	var all sync.WaitGroup
	began := time.Now()
	for i := range gateways {
		for _, routes := range []bool{false, true} {
			all.Add(1)
			go func() {
				defer all.Done()
				for ctx.Err() == nil { // a gateway dials again
					w.note(pollFor(ctx, coord.addr, fmt.Sprintf("gw-%d", i), s.Zones[i%3], i, routes, w))
					time.Sleep(200 * time.Millisecond)
				}
			}()
		}
		if i%50 == 49 { // connections come in over seconds, as after a restart
			time.Sleep(10 * time.Millisecond)
		}
	}
	for end := time.Now().Add(2 * time.Minute); w.count() < gateways; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			return res, fmt.Errorf("after two minutes %d of %d gateways hold their tables: %w", w.count(), gateways, w.failed())
		}
	}
	res.ConnectSeconds = time.Since(began).Seconds()
	time.Sleep(3 * time.Second) // what follows the joins has come
	res.KiBPerPoll = float64(residentOf(coord.cmd.Process.Pid)-before) / float64(2*gateways)
	res.Holders = w.drainedAt(time.Now())
	if err := list("draining"); err != nil {
		return res, err
	}
	for end := time.Now().Add(time.Minute); w.told() < res.Holders && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	took := w.times()
	if res.Woken = len(took); res.Woken == 0 {
		return res, fmt.Errorf("nobody was told of the drain: %w", w.failed())
	}
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	res.Wake = Latency{ms(took[len(took)/2]), ms(took[len(took)*99/100])}
	res.MaxWake = ms(took[len(took)-1])
	res.Disconnects = w.broken()
	cancel()
	coord.end(syscall.SIGTERM)
	all.Wait()
	return res, nil
}

// pollWatch gathers who holds tables and when each was told of the drain.
type pollWatch struct {
	mu    sync.Mutex
	held  map[int]bool // whether the first node is open there
	at    time.Time
	took  map[int]time.Duration
	error error
	broke int
}

func (w *pollWatch) note(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil && !errors.Is(err, context.Canceled) {
		w.error = err
		w.broke++
	}
}

func (w *pollWatch) broken() int { w.mu.Lock(); defer w.mu.Unlock(); return w.broke }

func (w *pollWatch) count() int    { w.mu.Lock(); defer w.mu.Unlock(); return len(w.held) }
func (w *pollWatch) told() int     { w.mu.Lock(); defer w.mu.Unlock(); return len(w.took) }
func (w *pollWatch) failed() error { w.mu.Lock(); defer w.mu.Unlock(); return w.error }

// drainedAt begins the measurement and counts whom it concerns.
func (w *pollWatch) drainedAt(t time.Time) (holders int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, open := range w.held {
		if open {
			holders++
		}
	}
	w.at, w.took = t, map[int]time.Duration{}
	return holders
}

func (w *pollWatch) times() (took []time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range w.took {
		took = append(took, d)
	}
	slices.Sort(took)
	return took
}

// saw takes a gateway's endpoints in: whether the first node is open in them.
func (w *pollWatch) saw(i int, open bool, lines int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, known := w.took[i]; w.took != nil && w.held[i] && !open && !known {
		w.took[i] = time.Since(w.at)
	}
	if lines > 0 {
		w.held[i] = open
	}
}

// pollFor polls for one document of one gateway on a connection of its own until the context ends.
func pollFor(ctx context.Context, addr, name, zone string, i int, routes bool, w *pollWatch) error {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	path, kind := xds.EndpointPath, xds.EndpointType
	if routes {
		path, kind = xds.RoutePath, xds.RouteType
	}
	r, version := bufio.NewReaderSize(conn, 4096), ""
	for ctx.Err() == nil {
		// Binary: what is measured is the coordinator, and the gateways share its cores.
		text, err := proto.Marshal(xds.NewAcknowledgement(xds.Node{Name: name, Zone: zone, UsualRate: 1, Polls: true, MaxWait: time.Minute}, kind, version, "", ""))
		if err != nil {
			return err
		}
		head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/x-protobuf\r\nContent-Length: %d\r\n\r\n", path, len(text))
		if _, err := conn.Write(append([]byte(head), text...)); err != nil {
			return err
		}
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			return err
		}
		body, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		switch {
		case err != nil:
			return err
		case res.StatusCode == http.StatusServiceUnavailable:
			time.Sleep(time.Second)
		case res.StatusCode >= 400:
			return fmt.Errorf("%s: %s", res.Status, bytes.TrimSpace(body))
		case res.StatusCode == http.StatusOK:
			m := &discoveryv3.DiscoveryResponse{}
			if err := proto.Unmarshal(body, m); err != nil {
				return err
			}
			if version = m.VersionInfo; !routes {
				open, lines, err := firstOpen(m)
				if err != nil {
					return err
				}
				w.saw(i, open, lines)
			}
		}
	}
	return ctx.Err()
}

// firstOpen tells whether the first node is open in any cluster, and how many lines there are.
func firstOpen(m *discoveryv3.DiscoveryResponse) (open bool, lines int, err error) {
	for _, res := range m.Resources {
		c := &endpointv3.ClusterLoadAssignment{}
		if err := res.UnmarshalTo(c); err != nil {
			return false, 0, err
		}
		for _, zone := range c.Endpoints {
			for _, e := range zone.LbEndpoints {
				lines++
				open = open || e.GetEndpoint().GetAddress().GetSocketAddress().GetPortValue() == 1 && e.HealthStatus != corev3.HealthStatus_DRAINING
			}
		}
	}
	return open, lines, nil
}
