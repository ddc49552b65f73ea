package drill

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"

	"porthub/audit"
	"porthub/config"
	"porthub/daemon"
	"porthub/standin"
	"porthub/xds"
)

// IntakeOptions say what MeasureIntake stages.
type IntakeOptions struct {
	Exe      []string // as in Options
	Gateways int
	Nodes    int
	Bound    int    // lines of reports that are taken in a second; 0: all
	Seconds  int    // that are measured
	Procs    int    // cores of the coordinator; 0: all
	Profile  string // file for the coordinator's CPU profile; empty: none
}

// IntakeResult is what came of reports from many gateways at once.
type IntakeResult struct {
	Gateways int     `json:"gateways"`
	Nodes    int     `json:"nodes"`
	Bound    int     `json:"bound_lines_per_s"` // 0: none
	Procs    int     `json:"coordinator_procs"` // 0: all cores
	JoinedS  float64 `json:"joined_s"`
	// PerS are reports and lines that the coordinator took in a second; Lag is from a report's sending to its answer.
	Reports  float64 `json:"reports_per_s"`
	Lines    float64 `json:"lines_per_s"`
	Taken    float64 `json:"lines_taken_per_s"`
	Lag      Latency `json:"answer_ms"`
	Late     int64   `json:"late"`     // reports whose answer took longer than their period
	Deferred int64   `json:"deferred"` // answered 429
	Failed   int64   `json:"failed"`
	// Within is the share of node figures within the stated error and a twentieth, Error their mean error, Stated the mean
	// error that was stated.
	Within  float64      `json:"within"`
	Error   float64      `json:"mean_error"`
	Stated  float64      `json:"stated_error"`
	Cases   int          `json:"cases"`
	Inbox   int          `json:"inbox_most"`
	Steps   daemon.Times `json:"step_us"`
	CPU     float64      `json:"cpu_s"`
	PeakKiB int64        `json:"peak_kib"`
}

// linesEach is what each gateway reports on: nodes for one kind.
const linesEach = 12

// MeasureIntake starts a coordinator and has gateways report each second on the same traffic, so that what each node has is
// known, and compares that with what the coordinator says of it.
func MeasureIntake(o IntakeOptions) (res IntakeResult, err error) {
	exe, gateways, nodes, bound, seconds, procs := o.Exe, o.Gateways, o.Nodes, o.Bound, o.Seconds, o.Procs
	res.Gateways, res.Nodes, res.Bound, res.Procs = gateways, nodes, bound, procs
	dir, err := os.MkdirTemp(scratch(), "porthub-intake-")
	if err != nil {
		return res, err
	}
	defer os.RemoveAll(dir)
	s := usual()
	s.Gateways = gateways
	f := &fleet{s: s, dir: dir, log: audit.NewLog(limits(s))}
	f.world = standin.NewWorld(f.log, standin.Rules{}, 1)
	logs, err := os.Create(filepath.Join(dir, "coordinator.log"))
	if err != nil {
		return res, err
	}
	defer logs.Close()
	cfg := s.Config(dir, "127.0.0.1:0", 1)
	cfg.Rules.WaitingLines, cfg.Gateways.SilentAfter = float64(400*gateways), 60_000_000
	cfg.Limits = config.Limits{Connections: 2 * gateways, PerAddress: 2 * gateways}
	cfg.Reports.Intake, cfg.Probes.Allowed, cfg.Capture.Enabled = bound, false, false
	var groups []map[string]any
	for i := range nodes {
		groups = append(groups, map[string]any{"targets": []string{fmt.Sprintf("127.0.0.1:%d", 1+i)},
			"labels": map[string]string{"zone": s.Zones[i%3], "machine": "std", "launched": "0"}})
	}
	text, err := json.Marshal(groups)
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, "nodes.json"), text, 0o644)
	}
	if err != nil {
		return res, err
	}
	if procs > 0 {
		_ = os.Setenv("GOMAXPROCS", fmt.Sprint(procs)) // of the coordinator, which inherits it
		defer os.Unsetenv("GOMAXPROCS")
	}
	coord := &coordinatorProcess{f: f, cfg: cfg, exe: exe, logs: logs, profile: o.Profile}
	if err := coord.start(); err != nil {
		return res, err
	}
	defer coord.end(syscall.SIGTERM)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	truth := make([]float64, nodes)
	var joined, late, deferred, failed, sent atomic.Int64
	took := standin.NewTally()
	var all sync.WaitGroup
	began := time.Now()
	for i := range gateways {
		lines := make([]xds.Endpoint, linesEach)
		for k := range lines {
			n := (i*7 + k*k + k) % nodes
			tries := 1 + (i*13+n*7+k)%5
			truth[n] += float64(tries)
			lines[k] = xds.Endpoint{Backend: fmt.Sprintf("127.0.0.1:%d", 1+n), Zone: s.Zones[n%3], Tries: tries, Answer: 160 * time.Millisecond,
				Loads: map[string]float64{"util": 0.5, "queue": 0}, Loaded: tries}
		}
		all.Add(1)
		go func() {
			defer all.Done()
			g := &lightGateway{name: fmt.Sprintf("gw-%d", i), zone: s.Zones[i%3], addr: coord.addr, lines: lines}
			time.Sleep(time.Duration(i) * time.Second / time.Duration(gateways)) // spread over the period
			for ctx.Err() == nil {
				g.run(ctx, func(d time.Duration, code int, err error) {
					switch {
					case err != nil:
						failed.Add(1)
					case code == http.StatusTooManyRequests:
						deferred.Add(1)
					default:
						sent.Add(1)
						took.Took(d)
						if d > time.Second {
							late.Add(1)
						}
					}
				}, func() { joined.Add(1) })
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
	for end := time.Now().Add(time.Minute); joined.Load() < int64(gateways); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			return res, fmt.Errorf("after a minute %d of %d gateways have reported, %d failures", joined.Load(), gateways, failed.Load())
		}
	}
	res.JoinedS = time.Since(began).Seconds()
	time.Sleep(4 * time.Second) // the part is found, the module has its rounds
	var first, last daemon.Heard
	if err := heard(coord.addr, &first); err != nil {
		return res, err
	}
	from, sentFrom := time.Now(), sent.Load()
	last = first
	seen := map[string]bool{}
	for range seconds {
		time.Sleep(time.Second)
		if err := heard(coord.addr, &last); err != nil {
			return res, err
		}
		res.Inbox = max(res.Inbox, last.Inbox)
		for _, n := range last.Nodes {
			var i int
			if _, err := fmt.Sscanf(string(n.Backend), "127.0.0.1:%d", &i); err != nil || truth[i-1] == 0 {
				continue
			}
			if key := fmt.Sprint(n.Backend, n.At); seen[key] {
				continue
			} else {
				seen[key] = true
			}
			want := truth[i-1]
			res.Cases++
			if math.Abs(n.Tries-want) <= n.TriesError+want/20 {
				res.Within++
			}
			res.Error += math.Abs(n.Tries-want) / want
			res.Stated += n.TriesError / want
		}
	}
	span := time.Since(from).Seconds()
	res.Reports = float64(sent.Load()-sentFrom) / span
	res.Lines = float64(last.Intake.Lines-first.Intake.Lines) / span
	res.Taken = float64(last.Intake.Taken-first.Intake.Taken) / span
	res.Within, res.Error, res.Stated = res.Within/float64(max(1, res.Cases)), res.Error/float64(max(1, res.Cases)), res.Stated/float64(max(1, res.Cases))
	times := took.Answers()
	res.Lag = Latency{float64(times.ValueAtQuantile(50)) / 1000, float64(times.ValueAtQuantile(99)) / 1000}
	res.Late, res.Deferred, res.Failed, res.Steps = late.Load(), deferred.Load(), failed.Load(), last.Steps
	cancel()
	coord.end(syscall.SIGTERM)
	res.CPU, res.PeakKiB = coord.cpu.Seconds(), coord.peak
	all.Wait()
	return res, nil
}

func heard(addr string, into *daemon.Heard) error {
	res, err := (&http.Client{Timeout: 20 * time.Second}).Get("http://" + addr + "/intake")
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK { // it is behind: what was known stands
		_, _ = io.Copy(io.Discard, res.Body)
		return nil
	}
	return json.NewDecoder(res.Body).Decode(into)
}

// lightGateway reports and acknowledges on one connection, in binary, and has no traffic of its own.
type lightGateway struct {
	name, zone, addr string
	lines            []xds.Endpoint
	versions         [2]string
	reports          uint64
	joined           bool
}

func (g *lightGateway) run(ctx context.Context, told func(time.Duration, int, error), joined func()) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", g.addr)
	if err != nil {
		told(0, 0, err)
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	r := bufio.NewReaderSize(conn, 8192)
	ask := func(path string, m proto.Message) (body []byte, code int, err error) {
		text, err := proto.Marshal(m)
		if err != nil {
			return nil, 0, err
		}
		head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/x-protobuf\r\nContent-Length: %d\r\n\r\n", path, len(text))
		if _, err := conn.Write(append([]byte(head), text...)); err != nil {
			return nil, 0, err
		}
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			return nil, 0, err
		}
		defer res.Body.Close()
		body, err = io.ReadAll(res.Body)
		return body, res.StatusCode, err
	}
	node := xds.Node{Name: g.name, Zone: g.zone, Weight: 10, Polls: true}
	for turn := 0; ctx.Err() == nil; turn++ {
		next := time.Now().Add(time.Second)
		// What is new is asked for and acknowledged; a version that is held costs one short answer.
		for d, path := range []string{xds.EndpointPath, xds.RoutePath} {
			for ctx.Err() == nil {
				body, code, err := ask(path, xds.Acknowledge(node, []string{xds.EndpointType, xds.RouteType}[d], g.versions[d], "", ""))
				m := &discoveryv3.DiscoveryResponse{}
				if err == nil && code == http.StatusOK {
					err = proto.Unmarshal(body, m)
				}
				if err != nil {
					if ctx.Err() == nil {
						told(0, 0, err)
					}
					return
				}
				if code != http.StatusOK || m.VersionInfo == g.versions[d] {
					break
				}
				g.versions[d] = m.VersionInfo
			}
		}
		g.reports++
		n := node
		n.Report = g.reports
		arrived := 0
		for _, l := range g.lines {
			arrived += l.Tries
		}
		began := time.Now()
		_, code, err := ask(xds.LoadPath, xds.Load(n, time.Second, []xds.Kind{{Name: "schedule", Arrived: arrived, Endpoints: g.lines}}))
		if err != nil && ctx.Err() != nil {
			return
		}
		told(time.Since(began), code, err)
		if err != nil {
			return
		}
		if !g.joined {
			g.joined = true
			joined()
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(next)):
		}
	}
}
