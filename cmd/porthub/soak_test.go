package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"porthub/resp"
)

var (
	soakSeeds     = flag.Uint64("soak-seeds", 3, "number of seeds that the soak test runs")
	soakFirstSeed = flag.Uint64("soak-first-seed", 1, "first seed that the soak test runs")
)

const (
	soakRounds     = 4                      // starts of the process for each seed
	soakKillAfter  = 700 * time.Millisecond // delay from SIGTERM to SIGKILL, the shortest that the platform allows
	soakReadyLimit = 10 * time.Second       // limit on the 90th percentile of the time from a start to the first answer
	soakHosts      = 12                     // endpoints in the list
	soakBurst      = 300                    // proxies that connect at the same time
	soakSockets    = 512                    // configured limit on sockets
	soakGrace      = 3 * time.Second        // configured drain grace period
	soakSlack      = 300 * time.Millisecond // tolerance for delays of the machine
)

// soakConfig returns the configuration of the process under test.
func soakConfig(listen, discovery string) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1f","limits":{"cores":1,"memory_mb":192,"sockets":%d},
		"known":{"seq":7,"whole":true,"hosts":[%s]},"settings":{"localities":["a"],"resolution":4000,"discovery":"ask",
		"domain":{"dataPlaneSize":400,"period":1000000,"queueCap":50000,"envelope":6,"linesPerS":6000,"transit":200000,"worstTransit":600000},
		"guarantees":{"drainGrace":%d},
		"profiles":[{"name":"view","effect":"repeatable","slo":750000,"points":1}]}}`, listen, discovery, soakSockets, hostEntries(soakHosts), soakGrace.Microseconds())
}

// soak is the run of one seed: a process is started, used, sent signals and ended, several times on the same address.
type soak struct {
	t        *testing.T
	random   *rand.Rand
	seed     uint64
	began    time.Time
	address  string
	timeline []string        // what the test did and found, with times
	findings []string        // violations of what the process must do
	ready    []time.Duration // time from each start to the first answer
	answered int             // requests that were answered
	closed   int             // requests whose connection ended before the answer
}

func (s *soak) log(format string, args ...any) {
	s.timeline = append(s.timeline, fmt.Sprintf("%7.3f s  %s", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...)))
}

func (s *soak) addFinding(format string, args ...any) {
	finding := fmt.Sprintf(format, args...)
	s.log("FINDING %s", finding)
	s.findings = append(s.findings, finding)
}

// The test runs `porthub node` under the signals and the load of the platform: SIGTERM, followed after 0.7 s by SIGKILL, while proxies
// still use their connections; several SIGHUPs in succession; discovery that stops sending changes; connections that are closed in the
// middle of a message; many simultaneous connections; SIGKILL without SIGTERM. It verifies that each request on an open connection is
// answered or its connection ends, that a drained endpoint is removed from every table within the grace period, that nine of ten starts
// are ready within 10 s, that the process exits with code 0 within 0.7 s of SIGTERM, and that it opens no more descriptors than its limit.
//
// To run it for longer: go test ./cmd/porthub -run TestSoakOfStartsSignalsAndEnds -soak-seeds 50 -timeout 60m -v
func TestSoakOfStartsSignalsAndEnds(t *testing.T) {
	if _, err := program(); err != nil { // the build is not part of the time of a start
		t.Fatal(err)
	}
	var mu sync.Mutex // guards the variables below
	var ready []time.Duration
	answered, closed := 0, 0
	t.Run("seeds", func(t *testing.T) {
		for seed := *soakFirstSeed; seed < *soakFirstSeed+*soakSeeds; seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				s := &soak{t: t, random: rand.New(rand.NewPCG(seed, 38)), seed: seed, began: time.Now(), address: freeAddress(t)}
				for round := range soakRounds {
					s.runRound(round)
				}
				if len(s.findings) > 0 {
					t.Errorf("seed %d: %d findings, want none; the first is: %s\n%s", seed, len(s.findings), s.findings[0], strings.Join(s.timeline, "\n"))
				}
				t.Logf("seed %d: ready after %v", seed, s.ready)
				mu.Lock()
				defer mu.Unlock()
				ready = append(ready, s.ready...)
				answered += s.answered
				closed += s.closed
			})
		}
	})
	slices.Sort(ready)
	if len(ready) == 0 {
		t.Fatal("no start became ready")
	}
	p90 := ready[len(ready)*9/10]
	t.Logf("%d starts: ready after p50 %v, p90 %v, max %v; %d requests answered, %d ended with their connection", len(ready), ready[len(ready)/2], p90, ready[len(ready)-1], answered, closed)
	if p90 > soakReadyLimit {
		t.Errorf("the 90th percentile of the time to readiness is %v, want at most 10 s", p90)
	}
}

// runRound starts the process, uses it under faults, ends it, and checks the results of its clients.
func (s *soak) runRound(round int) {
	discovery := newSoakDiscovery(soakHosts)
	first, second := discovery.listen(s.t), discovery.listen(s.t)
	s.log("round %d starts", round)
	began := time.Now()
	node := startNode(s.t, s.address, soakConfig(s.address, first))
	if s.random.IntN(2) == 0 {
		s.hangupDuringStart(node)
	}
	node.waitReady()
	s.ready = append(s.ready, time.Since(began))
	s.log("ready")

	var clients []*soakClient
	var running sync.WaitGroup
	connect := func(proxy, reset int) {
		conn, err := net.Dial("tcp", s.address)
		if err != nil {
			s.addFinding("proxy %d cannot connect: %v", proxy, err)
			return
		}
		client := newSoakClient(conn, proxy, s.seed)
		clients = append(clients, client)
		running.Go(func() { client.run(40*time.Millisecond, reset) })
	}
	for proxy := range 12 {
		connect(proxy, []int{0, 0, 0, 20}[s.random.IntN(4)])
	}
	if s.random.IntN(3) == 0 {
		s.log("a burst of %d proxies connects", soakBurst)
		for proxy := 50; proxy < 50+soakBurst; proxy++ {
			connect(proxy, 0)
		}
	}
	s.hangups(node, first, second)
	drained := s.drain(discovery, clients)
	s.checkDescriptors(node, len(clients))
	s.end(node, second)
	running.Wait()
	for _, client := range clients {
		s.checkClient(client, drained)
	}
}

// hangupDuringStart sends SIGHUP as soon as the process listens, after a connection that is closed within a message.
func (s *soak) hangupDuringStart(node *nodeProcess) {
	for end := time.Now().Add(nodeTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		conn, err := net.Dial("tcp", s.address)
		if err != nil {
			continue
		}
		_, _ = conn.Write(resp.Append(nil, "PING")[:5])
		_ = conn.Close()
		s.log("SIGHUP during the start")
		node.signal(syscall.SIGHUP)
		return
	}
}

// hangups sends SIGHUP twice within a second. Before each one the configuration is replaced by a valid or an invalid one, or left unchanged.
func (s *soak) hangups(node *nodeProcess, first, second string) {
	for range 2 {
		s.hangup(node, []string{soakConfig(s.address, second), soakConfig(s.address, first), "{", ""}[s.random.IntN(4)])
		time.Sleep(time.Duration(s.random.IntN(500)) * time.Millisecond)
	}
}

// hangup replaces the configuration file by a text, unless that is empty, and sends SIGHUP.
func (s *soak) hangup(node *nodeProcess, text string) {
	s.log("SIGHUP, configuration of %d bytes", len(text))
	if text != "" {
		if err := os.WriteFile(node.configFile, []byte(text), 0o600); err != nil {
			s.t.Fatal(err)
		}
	}
	node.signal(syscall.SIGHUP)
}

// drain lists an endpoint as draining, in some rounds while discovery sends no changes for 2 s. After the grace period it checks the tables
// of the clients that are still connected. It returns the endpoint.
func (s *soak) drain(discovery *soakDiscovery, clients []*soakClient) (host string) {
	host = fmt.Sprintf("s-%d", s.random.IntN(soakHosts))
	silence := time.Duration(0)
	if s.random.IntN(3) == 0 {
		silence = 2 * time.Second
		discovery.setSilent(true)
	}
	s.log("%s drains, discovery sends no changes for %v", host, silence)
	discovery.setHealth(host, "Terminating")
	time.Sleep(silence)
	discovery.setSilent(false)
	// It may take up to 4 s after SIGHUP until a new address of discovery is used.
	time.Sleep(4*time.Second + soakGrace + soakSlack)
	for _, client := range clients {
		if client.isOpen() && slices.Contains(client.hosts(), host) {
			s.addFinding("drain: the table of proxy %d still has %s after the grace period", client.proxy, host)
		}
		if client.isOpen() && len(client.hosts()) == 0 {
			s.addFinding("bare: the table of proxy %d has no endpoint", client.proxy)
		}
	}
	return host
}

func (c *soakClient) isOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.ended
}

// checkDescriptors checks the number of descriptors that the process has open: it is limited by the configuration, and by the number of
// clients with an allowance of 40.
func (s *soak) checkDescriptors(node *nodeProcess, clients int) {
	names, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", node.Process.Pid))
	if err != nil {
		s.addFinding("the process has ended: %s", node.output())
		return
	}
	s.log("%d descriptors, %d clients have connected", len(names), clients)
	if len(names) > min(soakSockets, clients+40) {
		s.addFinding("descriptors: %d for %d clients", len(names), clients)
	}
}

// end ends the process, in some rounds by SIGKILL alone, and otherwise by SIGTERM, which in some rounds follows a SIGHUP at once.
func (s *soak) end(node *nodeProcess, second string) {
	if s.random.IntN(4) == 0 {
		s.log("SIGKILL")
		node.signal(syscall.SIGKILL)
		_ = node.Wait()
		return
	}
	if s.random.IntN(2) == 0 {
		s.hangup(node, []string{soakConfig(s.address, second), "{"}[s.random.IntN(2)])
	}
	s.terminate(node)
}

// terminate sends SIGTERM, and SIGKILL if the process still runs after the shortest delay that the platform allows.
func (s *soak) terminate(node *nodeProcess) {
	s.log("SIGTERM")
	node.signal(syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- node.Wait() }()
	select {
	case err := <-ended:
		s.checkEnd(err, node.output())
	case <-time.After(soakKillAfter):
		s.addFinding("end: the process still runs 0.7 s after SIGTERM")
		node.signal(syscall.SIGKILL)
		<-ended
	}
	s.log("ended")
}

// checkEnd checks the exit status and the log of a process that has ended after SIGTERM.
func (s *soak) checkEnd(err error, output string) {
	if err != nil {
		s.addFinding("end: %v: %s", err, output)
	}
	for line := range strings.Lines(output) {
		var entry struct{ Level, Msg string }
		if json.Unmarshal([]byte(line), &entry) != nil {
			s.addFinding("log: not a JSON object: %s", line)
		} else if entry.Level == "error" || entry.Level == "fatal" || entry.Level == "panic" {
			s.addFinding("log: %s", line)
		}
	}
}

// checkClient checks a client whose connection has ended, and adds its requests to the totals.
func (s *soak) checkClient(c *soakClient, drained string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.answered += c.answered
	s.closed += len(c.pending)
	if c.failure != "" {
		s.addFinding("proxy %d: %s (%d answered, drained %s)", c.proxy, c.failure, c.answered, drained)
	}
	if c.answered == 0 {
		s.addFinding("proxy %d was served nothing", c.proxy)
	}
}

// Each check of the soak test reports a finding for a process or a client that violates it.
func TestSoakChecksReportFailures(t *testing.T) {
	serve := func(respond func(net.Conn)) *soakClient {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		go func() {
			if conn, err := listener.Accept(); err == nil {
				respond(conn)
			}
		}()
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		c := newSoakClient(conn, 1, 1)
		c.run(10*time.Millisecond, 0)
		return c
	}
	wait := func(conn net.Conn) { time.Sleep(soakAnswerTime + time.Second); _ = conn.Close() }
	for name, respond := range map[string]func(net.Conn){
		"no answer on an open connection": wait,
		"unexpected message":              func(conn net.Conn) { _, _ = conn.Write(resp.Append(nil, "NACK")); wait(conn) },
		"unreadable":                      func(conn net.Conn) { _, _ = conn.Write([]byte("*x\r\n")); wait(conn) },
		"an answer without a request": func(conn net.Conn) {
			for range 1000 {
				_, _ = conn.Write(resp.Append(nil, "PONG"))
			}
			wait(conn)
		},
		"served nothing": func(conn net.Conn) { _ = conn.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &soak{t: t, began: time.Now()}
			s.checkClient(serve(respond), "")
			if !slices.ContainsFunc(s.findings, func(f string) bool { return strings.Contains(f, name) }) {
				t.Errorf("findings %v, want one that contains the name of this test", s.findings)
			}
		})
	}
	testSoakProcessChecks(t)
	s := &soak{t: t, random: rand.New(rand.NewPCG(1, 1)), began: time.Now()}
	s.checkEnd(errors.New("exit status 1"), `{"level":"error","msg":"x"}`+"\n"+"panic: y\n")
	if len(s.findings) != 3 {
		t.Errorf("a failed exit, a log entry of level error and a log line that is not JSON: findings %v, want three", s.findings)
	}
	s.findings = nil
	stale, empty := newSoakClient(nil, 1, 1), newSoakClient(nil, 2, 1)
	for i := range soakHosts {
		stale.table[fmt.Sprintf("s-%d", i)] = true
	}
	s.drain(newSoakDiscovery(soakHosts), []*soakClient{stale, empty})
	if len(s.findings) != 2 || !strings.Contains(s.findings[0], "drain") || !strings.Contains(s.findings[1], "bare") {
		t.Errorf("a drained endpoint and an empty table: findings %v, want one of drain and one of bare", s.findings)
	}
}

// testSoakProcessChecks checks that there are findings for a process that ignores SIGTERM, has too many descriptors, or has ended.
func testSoakProcessChecks(t *testing.T) {
	ignoringTerm := exec.Command("sh", "-c", "trap '' TERM; echo ready; while :; do sleep 0.1; done")
	output, err := ignoringTerm.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := ignoringTerm.Start(); err != nil {
		t.Fatal(err)
	}
	if _, err := output.Read(make([]byte, 16)); err != nil {
		t.Fatal(err)
	}
	log, err := os.CreateTemp(t.TempDir(), "log")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	node := &nodeProcess{Cmd: ignoringTerm, t: t, log: log}
	s := &soak{t: t, began: time.Now()}
	const noClients = -40 // with the allowance of 40 no descriptor may be open
	s.checkDescriptors(node, noClients)
	s.terminate(node)
	s.checkDescriptors(node, 100)
	want := []string{"descriptors:", "still runs", "the process has ended"}
	if len(s.findings) != len(want) {
		t.Fatalf("findings %v, want one each of too many descriptors, a process that still runs, and a process that has ended", s.findings)
	}
	for i := range want {
		if !strings.Contains(s.findings[i], want[i]) {
			t.Errorf("finding %q, want %q", s.findings[i], want[i])
		}
	}
}
