package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"porthub/client"
	"porthub/policyapi"
	"porthub/xds"
)

const (
	// serveMemoryMB is the memory limit of the process, the smallest that the configuration allows. The clients of each test send
	// several times as much.
	serveMemoryMB = 256
	// serveAnswerTime is the time within which a request of a sound client must be answered: two report periods.
	serveAnswerTime = 2 * time.Second
	// serveDrainGrace is the drain grace period, the default of the configuration.
	serveDrainGrace = 3 * time.Second
	// removedEndpoint is the endpoint that is removed from the list in the course of a test.
	removedEndpoint = "127.0.0.1:9002"
)

// serveProcess is a running `porthub serve`.
type serveProcess struct {
	*exec.Cmd
	t        *testing.T
	addr     string
	filesDir string // of the gateways' tables
	listFile string
	log      *os.File
}

func startServe(t *testing.T) *serveProcess {
	t.Helper()
	bin, err := program()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	p := &serveProcess{t: t, filesDir: filepath.Join(dir, "tables"), listFile: filepath.Join(dir, "nodes.json")}
	p.writeList("127.0.0.1:9001", removedEndpoint)
	configFile := write("config.json", fmt.Sprintf(`{"coordinator": {"zone": "a"}, "zones": ["a"], "state_dir": %q, "gateways": {"expected": 2},
		"front": {"files": {"dir": %q}}, "registry": {"file": {"path": %q, "poll": "50ms"}}, "reports": {"period": "1s"}, "probes": {"allowed": false},
		"limits": {"memory_mb": %d},
		"request_kinds": [{"name": "view", "repeat": "replayable", "response_target": "750ms", "client_timeout": "2.5s", "payoff": 1}]}`,
		filepath.Join(dir, "state"), p.filesDir, p.listFile, serveMemoryMB))
	addrFile := filepath.Join(dir, "addr")
	if p.log, err = os.Create(filepath.Join(dir, "log")); err != nil {
		t.Fatal(err)
	}
	p.Cmd = exec.Command(bin, "serve", "-c", configFile, "--addr-file", addrFile)
	p.Stdout, p.Stderr = p.log, p.log
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.Process.Kill()
		_ = p.Wait()
		_ = p.log.Close()
	})
	for end := time.Now().Add(nodeTimeout); p.addr == ""; time.Sleep(5 * time.Millisecond) {
		text, _ := os.ReadFile(addrFile)
		p.addr = string(text)
		if time.Now().After(end) {
			t.Fatalf("the process does not listen before the timeout: %s", p.output())
		}
	}
	return p
}

// writeList replaces the list of endpoints.
func (p *serveProcess) writeList(endpoints ...string) {
	text := fmt.Sprintf(`[{"targets": ["%s"], "labels": {"zone": "a"}}]`, strings.Join(endpoints, `", "`))
	if err := os.WriteFile(p.listFile+".new", []byte(text), 0o600); err != nil {
		p.t.Error(err)
	}
	if err := os.Rename(p.listFile+".new", p.listFile); err != nil {
		p.t.Error(err)
	}
}

func (p *serveProcess) output() string {
	text, _ := os.ReadFile(p.log.Name())
	return string(text)
}

// answerTimes requests the endpoints every 20 ms until the context ends, on one connection, and returns the number of answers and the
// longest time until one. A request that is rejected with 503 is sent again, and its time runs on. Any other response, and the end of the
// connection, is an error.
func (p *serveProcess) answerTimes(ctx context.Context) (answers int, longest time.Duration, err error) {
	connection := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	began := time.Now()
	for ctx.Err() == nil {
		response, err := connection.Get("http://" + p.addr + "/nodes")
		if err != nil {
			return answers, longest, err
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		longest = max(longest, time.Since(began))
		switch {
		case err != nil:
			return answers, longest, err
		case response.StatusCode == http.StatusServiceUnavailable:
			time.Sleep(20 * time.Millisecond)
			continue
		case response.StatusCode != http.StatusOK:
			return answers, longest, fmt.Errorf("unexpected status %s", response.Status)
		}
		answers++
		time.Sleep(20 * time.Millisecond)
		began = time.Now()
	}
	return answers, longest, nil
}

// hostileHTTPClients are clients that make porthub serve hold bytes for them, or that keep it busy.
var hostileHTTPClients = map[string]func(conn net.Conn){
	"stopped": func(conn net.Conn) {
		_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: 3800000\r\n\r\n", xds.LoadReportPath)
		_, _ = conn.Write(make([]byte, 3_700_000))
		_, _ = io.Copy(io.Discard, conn)
	},
	"head of many fields, body in pieces": func(conn net.Conn) {
		_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: 3800000\r\n%s\r\n", xds.LoadReportPath, strings.Repeat("a:b\r\n", 100))
		for piece := make([]byte, 40); ; time.Sleep(time.Millisecond) {
			if _, err := conn.Write(piece); err != nil {
				return
			}
		}
	},
	"head of far too many fields": func(conn net.Conn) {
		_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: 3800000\r\n%s\r\n", xds.LoadReportPath, strings.Repeat("a:b\r\n", 2800))
		_, _ = io.Copy(io.Discard, conn)
	},
	"complete bodies": func(conn net.Conn) {
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		body := append(append([]byte(`{"node":{"id":"x"},"cluster_stats":"`), bytes.Repeat([]byte("x"), 3_700_000)...), `"}`...)
		for {
			_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", xds.LoadReportPath, len(body))
			if _, err := conn.Write(body); err != nil {
				return
			}
		}
	},
	"answers not read": func(conn net.Conn) {
		requests := []byte(strings.Repeat("GET /nodes HTTP/1.1\r\nHost: x\r\n\r\n", 1000))
		for {
			if _, err := conn.Write(requests); err != nil {
				return
			}
		}
	},
	"paths that do not exist": func(conn net.Conn) {
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		for n := 0; ; n++ {
			if _, err := fmt.Fprintf(conn, "GET /nothing-%d HTTP/1.1\r\nHost: x\r\n\r\n", n); err != nil {
				return
			}
		}
	},
}

// With a hundred clients at once that stop in a body, write one in pieces after a head of many fields, send large unsound bodies, read no
// answers or ask at full speed for what does not exist, the process stays within its configured memory. A gateway keeps its connection and
// gets its tables, a large report is accepted, and other requests are answered in time.
func TestHostileHTTPClientsStayWithinMemory(t *testing.T) {
	const (
		clients = 100
		period  = 5 * time.Second
		// reconnectPause is the time after which a client whose connection has ended connects again.
		reconnectPause = 100 * time.Millisecond
	)
	for name, send := range hostileHTTPClients {
		t.Run(name, func(t *testing.T) {
			p := startServe(t)
			ctx, cancel := context.WithTimeout(t.Context(), period)
			defer cancel()
			gateway := p.connectGateway("gw-sound")
			var running sync.WaitGroup
			for range clients {
				running.Go(func() {
					for ctx.Err() == nil { // connects again when the process closes the connection
						conn, err := net.Dial("tcp", p.addr)
						if err != nil {
							time.Sleep(10 * time.Millisecond)
							continue
						}
						deadline, _ := ctx.Deadline()
						_ = conn.SetDeadline(deadline)
						send(conn)
						_ = conn.Close()
						time.Sleep(reconnectPause)
					}
				})
			}
			var activity gatewayActivity
			running.Go(func() { activity = gateway.run(ctx, func() { p.writeList("127.0.0.1:9001") }) })
			answers, longest, err := p.answerTimes(ctx)
			running.Wait()
			if err != nil || answers == 0 || longest > serveAnswerTime {
				t.Errorf("error %v, %d answers, the longest after %s; want none, some, and at most %s: %s", err, answers, longest, serveAnswerTime, p.output())
			}
			if activity.acceptedReports == 0 || activity.syncError != nil {
				t.Errorf("%d large reports were accepted, error of an acknowledgement %v; want some and none", activity.acceptedReports, activity.syncError)
			}
			if activity.drainTime == 0 || activity.drainTime > serveDrainGrace {
				t.Errorf("the gateway's table lost a removed endpoint after %s (0: never), want at most %s", activity.drainTime, serveDrainGrace)
			}
			peak := residentPeakMB(t, p.Process.Pid)
			t.Logf("peak of resident memory %.0f MB, longest wait %s of %d answers, %d large reports, removal in force after %s",
				peak, longest, answers, activity.acceptedReports, activity.drainTime)
			if peak > serveMemoryMB {
				t.Errorf("peak of resident memory is %.0f MB, want at most the configured %d MB", peak, serveMemoryMB)
			}
			_ = p.Process.Signal(syscall.SIGTERM)
			if err := p.Wait(); err != nil {
				t.Errorf("the process ended with %v: %s", err, p.output())
			}
		})
	}
}

// serveGateway is a gateway that reads its tables from files.
type serveGateway struct {
	link   *client.Link
	reader *client.Reader
	state  client.Tables
}

// connectGateway connects a gateway and waits for its first table.
func (p *serveProcess) connectGateway(name string) *serveGateway {
	p.t.Helper()
	g := &serveGateway{reader: client.NewReader(p.filesDir, name),
		link: client.NewLink(client.Options{Node: xds.Node{Name: name, Zone: "a", UsualRate: 10}, Coordinator: p.addr})}
	p.t.Cleanup(g.link.Close)
	if err := g.link.Join(p.t.Context(), g.state); err != nil {
		p.t.Fatal(err)
	}
	for end := time.Now().Add(nodeTimeout); g.state.Snapshot.OpenEndpoints("view") == 0; time.Sleep(20 * time.Millisecond) {
		if err := g.sync(); err != nil || time.Now().After(end) {
			p.t.Fatalf("the gateway has no table, error %v: %s", err, p.output())
		}
	}
	return g
}

// sync applies and acknowledges new tables.
func (g *serveGateway) sync() error {
	for _, update := range g.reader.Poll() {
		g.state.Apply(update)
		if err := g.link.Acknowledge(context.Background(), update, g.state); err != nil {
			return err
		}
	}
	return nil
}

// gatewayActivity is what a gateway has seen.
type gatewayActivity struct {
	acceptedReports int
	drainTime       time.Duration // from the removal of removedEndpoint until the gateway's table was without it; 0: never
	syncError       error         // the first error of an acknowledgement
}

// run applies tables and sends a large report each second until the context ends. Once the first report was sent it calls remove, which
// removes removedEndpoint from the list.
func (g *serveGateway) run(ctx context.Context, remove func()) (activity gatewayActivity) {
	const steps = 20 // for each report
	var removedAt time.Time
	for step := 0; ctx.Err() == nil; step++ {
		if step%steps == 0 && g.report(2000) == nil {
			activity.acceptedReports++
		}
		if step == steps {
			removedAt = time.Now()
			remove()
		}
		if err := g.sync(); err != nil && activity.syncError == nil {
			activity.syncError = err
		}
		if activity.drainTime == 0 && !removedAt.IsZero() && !g.lists(removedEndpoint) {
			activity.drainTime = time.Since(removedAt)
		}
		time.Sleep(time.Second / steps)
	}
	return activity
}

// lists reports whether the gateway's table has an endpoint that is not withheld.
func (g *serveGateway) lists(id policyapi.EndpointID) bool {
	for _, cluster := range g.state.Snapshot.Clusters {
		for _, endpoint := range cluster.Endpoints {
			if endpoint.Endpoint == id && !endpoint.Withheld {
				return true
			}
		}
	}
	return false
}

// report sends a load report on a number of endpoints.
func (g *serveGateway) report(endpoints int) error {
	report := xds.ClassReport{Class: "view", Arrived: endpoints}
	for n := range endpoints {
		report.Endpoints = append(report.Endpoints, xds.EndpointReport{Address: fmt.Sprintf("127.0.%d.%d:9001", n/250, n%250), Attempts: 1, MeanLatency: time.Millisecond})
	}
	_, err := g.link.Report(context.Background(), time.Second, []xds.ClassReport{report})
	return err
}
