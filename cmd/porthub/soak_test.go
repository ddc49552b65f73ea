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
	soakSeeds     = flag.Uint64("soak-seeds", 3, "how many seeds the soak plays")
	soakFirstSeed = flag.Uint64("soak-first-seed", 1, "the first of them")
)

const (
	soakRounds     = 4                      // starts of the process on a seed
	soakKillAfter  = 700 * time.Millisecond // from SIGTERM to SIGKILL, the earliest that the platform allows
	soakReadyLimit = 10 * time.Second       // for nine of ten starts
	soakHosts      = 12
	soakCrowd      = 300
	soakSockets    = 512
	soakGrace      = 3 * time.Second // the drain grace period of the settings
	soakSlack      = 300 * time.Millisecond
)

// soakConfig is the configuration of the soak's process.
func soakConfig(listen, discovery string) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1f","limits":{"cores":1,"memory_mb":192,"sockets":%d},
		"known":{"seq":7,"whole":true,"hosts":[%s]},"settings":{"localities":["a"],"resolution":4000,"discovery":"ask",
		"domain":{"dataPlaneSize":400,"period":1000000,"queueCap":50000,"envelope":6,"linesPerS":6000,"transit":200000,"worstTransit":600000},
		"guarantees":{"drainGrace":%d},
		"profiles":[{"name":"view","effect":"repeatable","slo":750000,"points":1}]}}`, listen, discovery, soakSockets, hostEntries(soakHosts), soakGrace.Microseconds())
}

// soak is the play of one seed: a process is started, used, sent signals and ended, several times at one address.
type soak struct {
	t        *testing.T
	random   *rand.Rand
	seed     uint64
	began    time.Time
	address  string
	timeline []string
	findings []string
	ready    []time.Duration
	answered int
	closed   int // requests whose connection ended before the answer
}

func (s *soak) log(format string, args ...any) {
	s.timeline = append(s.timeline, fmt.Sprintf("%7.3f s  %s", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...)))
}

func (s *soak) find(format string, args ...any) {
	finding := fmt.Sprintf(format, args...)
	s.log("FINDING %s", finding)
	s.findings = append(s.findings, finding)
}

// Proxies and clients keep using their open connections from SIGTERM until the kill, 0.7 s after it. SIGHUP comes in series, lists fall
// silent, connections are reset with a message half sent, a crowd comes at once, processes are killed without warning. Each request
// on an open connection is answered or its connection ends; drained endpoints leave every table within the grace period; nine of ten
// starts are ready within 10 s; the process ends by itself with 0 and takes no more descriptors than it may.
//
// By hand, as a long run: go test ./cmd/porthub -run TestSoakOfStartsSignalsAndEnds -soak-seeds 50 -timeout 60m -v
func TestSoakOfStartsSignalsAndEnds(t *testing.T) {
	if _, err := program(); err != nil { // built first, as that is no part of a start
		t.Fatal(err)
	}
	var mu sync.Mutex // guards the sums
	var ready []time.Duration
	answered, closed := 0, 0
	t.Run("seeds", func(t *testing.T) {
		for seed := *soakFirstSeed; seed < *soakFirstSeed+*soakSeeds; seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				s := &soak{t: t, random: rand.New(rand.NewPCG(seed, 38)), seed: seed, began: time.Now(), address: freeAddress(t)}
				for round := range soakRounds {
					s.playRound(round)
				}
				if len(s.findings) > 0 {
					t.Errorf("seed %d: %d findings, first %s\n%s", seed, len(s.findings), s.findings[0], strings.Join(s.timeline, "\n"))
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
		t.Fatal("no start was ready")
	}
	p90 := ready[len(ready)*9/10]
	t.Logf("%d starts: ready after p50 %v, p90 %v, max %v; %d requests answered, %d ended with their connection", len(ready), ready[len(ready)/2], p90, ready[len(ready)-1], answered, closed)
	if p90 > soakReadyLimit {
		t.Errorf("nine of ten starts are ready after %v", p90)
	}
}

// playRound starts the process, uses it and ends it.
func (s *soak) playRound(round int) {
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
			s.find("proxy %d cannot connect: %v", proxy, err)
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
		s.log("a crowd of %d connects", soakCrowd)
		for proxy := 50; proxy < 50+soakCrowd; proxy++ {
			connect(proxy, 0)
		}
	}
	s.hangups(node, first, second)
	drained := s.drain(discovery, clients)
	s.checkDescriptors(node, len(clients))
	s.end(node, second)
	running.Wait()
	for _, client := range clients {
		s.judgeClient(client, drained)
	}
}

// hangupDuringStart sends SIGHUP as soon as the process listens.
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

// hangups sends SIGHUP twice within a second, each with a configuration that is replaced, invalid or unchanged.
func (s *soak) hangups(node *nodeProcess, first, second string) {
	for range 2 {
		s.hangup(node, []string{soakConfig(s.address, second), soakConfig(s.address, first), "{", ""}[s.random.IntN(4)])
		time.Sleep(time.Duration(s.random.IntN(500)) * time.Millisecond)
	}
}

// hangup replaces the configuration and sends SIGHUP; an empty text leaves the file.
func (s *soak) hangup(node *nodeProcess, text string) {
	s.log("SIGHUP, configuration of %d bytes", len(text))
	if text != "" {
		if err := os.WriteFile(node.configFile, []byte(text), 0o600); err != nil {
			s.t.Fatal(err)
		}
	}
	node.signal(syscall.SIGHUP)
}

// drain lists an endpoint as draining, in some rounds while the list is silent for a while, and checks the tables of the clients that
// were connected once the grace period is over. It returns the endpoint.
func (s *soak) drain(discovery *soakDiscovery, clients []*soakClient) (host string) {
	host = fmt.Sprintf("s-%d", s.random.IntN(soakHosts))
	silence := time.Duration(0)
	if s.random.IntN(3) == 0 {
		silence = 2 * time.Second
		discovery.setSilent(true)
	}
	s.log("%s drains, the list is silent for %v", host, silence)
	discovery.setHealth(host, "Terminating")
	time.Sleep(silence)
	discovery.setSilent(false)
	// A new address of discovery may be followed up to 4 s after SIGHUP.
	time.Sleep(4*time.Second + soakGrace + soakSlack)
	for _, client := range clients {
		if client.isOpen() && slices.Contains(client.hosts(), host) {
			s.find("drain: proxy %d is offered %s after the grace period", client.proxy, host)
		}
		if client.isOpen() && len(client.hosts()) == 0 {
			s.find("bare: proxy %d has no endpoint", client.proxy)
		}
	}
	return host
}

func (c *soakClient) isOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.ended
}

func (s *soak) checkDescriptors(node *nodeProcess, clients int) {
	names, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", node.Process.Pid))
	if err != nil {
		s.find("the process has ended: %s", node.output())
		return
	}
	s.log("%d descriptors, %d clients have connected", len(names), clients)
	if len(names) > min(soakSockets, clients+40) {
		s.find("descriptors: %d for %d clients", len(names), clients)
	}
}

// end ends the process: by SIGTERM and, 0.7 s after it, SIGKILL, with a SIGHUP just before in some rounds; or by SIGKILL alone.
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

// terminate sends SIGTERM and, to a process that still runs, SIGKILL at the earliest that the platform allows.
func (s *soak) terminate(node *nodeProcess) {
	s.log("SIGTERM")
	node.signal(syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- node.Wait() }()
	select {
	case err := <-ended:
		s.judgeEnd(err, node.output())
	case <-time.After(soakKillAfter):
		s.find("end: the process still runs 0.7 s after SIGTERM")
		node.signal(syscall.SIGKILL)
		<-ended
	}
	s.log("ended")
}

// judgeEnd judges the end of a process after SIGTERM by its exit status and its log.
func (s *soak) judgeEnd(err error, output string) {
	if err != nil {
		s.find("end: %v: %s", err, output)
	}
	for line := range strings.Lines(output) {
		var entry struct{ Level, Msg string }
		if json.Unmarshal([]byte(line), &entry) != nil {
			s.find("log: not a JSON object: %s", line)
		} else if entry.Level == "error" || entry.Level == "fatal" || entry.Level == "panic" {
			s.find("log: %s", line)
		}
	}
}

// judgeClient judges a client's connection after its end, and counts its requests.
func (s *soak) judgeClient(c *soakClient, drained string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.answered += c.answered
	s.closed += len(c.pending)
	if c.failure != "" {
		s.find("proxy %d: %s (%d answered, drained %s)", c.proxy, c.failure, c.answered, drained)
	}
	if c.answered == 0 {
		s.find("proxy %d was served nothing", c.proxy)
	}
}

// Each check of the soak complains about a process that is wrong in its respect.
func TestSoakJudgesComplain(t *testing.T) {
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
			s.judgeClient(serve(respond), "")
			if !slices.ContainsFunc(s.findings, func(f string) bool { return strings.Contains(f, name) }) {
				t.Errorf("findings %v", s.findings)
			}
		})
	}
	testSoakJudgesProcess(t)
	s := &soak{t: t, random: rand.New(rand.NewPCG(1, 1)), began: time.Now()}
	s.judgeEnd(errors.New("exit status 1"), `{"level":"error","msg":"x"}`+"\n"+"panic: y\n")
	if len(s.findings) != 3 {
		t.Errorf("a bad end: %v", s.findings)
	}
	s.findings = nil
	stale, bare := newSoakClient(nil, 1, 1), newSoakClient(nil, 2, 1)
	for i := range soakHosts {
		stale.table[fmt.Sprintf("s-%d", i)] = true
	}
	s.drain(newSoakDiscovery(soakHosts), []*soakClient{stale, bare})
	if len(s.findings) != 2 || !strings.Contains(s.findings[0], "drain") || !strings.Contains(s.findings[1], "bare") {
		t.Errorf("a drained endpoint and an empty table: %v", s.findings)
	}
}

// testSoakJudgesProcess shows that the soak complains about a process that ignores SIGTERM, has too many descriptors, or has ended.
func testSoakJudgesProcess(t *testing.T) {
	stubborn := exec.Command("sh", "-c", "trap '' TERM; echo ready; while :; do sleep 0.1; done")
	output, err := stubborn.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := stubborn.Start(); err != nil {
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
	node := &nodeProcess{Cmd: stubborn, t: t, log: log}
	s := &soak{t: t, began: time.Now()}
	const noClients = -40 // with the allowance none may be open
	s.checkDescriptors(node, noClients)
	s.terminate(node)
	s.checkDescriptors(node, 100)
	want := []string{"descriptors:", "still runs", "the process has ended"}
	if len(s.findings) != len(want) {
		t.Fatalf("findings %v", s.findings)
	}
	for i := range want {
		if !strings.Contains(s.findings[i], want[i]) {
			t.Errorf("finding %q, want %q", s.findings[i], want[i])
		}
	}
}
