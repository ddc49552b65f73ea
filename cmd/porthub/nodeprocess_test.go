package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"porthub/emulator"
	"porthub/proxyproto"
	"porthub/resp"
)

// program returns the path of the porthub program, which is built once for all tests.
var program = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "porthub")
	if err != nil {
		return "", err
	}
	bin := filepath.Join(dir, "porthub")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return bin, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if bin, err := program(); err == nil {
		_ = os.RemoveAll(filepath.Dir(bin))
	}
	os.Exit(code)
}

// nodeTimeout bounds the wait for an event that must happen. No test waits for the timeout itself.
const nodeTimeout = 20 * time.Second

// nodeProcess is a running `porthub node`.
type nodeProcess struct {
	*exec.Cmd
	t                   *testing.T
	configFile, address string
	log                 *os.File
}

// freeAddress returns an address without a listener that stays reserved until the test ends.
func freeAddress(t *testing.T) string {
	address, err := emulator.NewAddress()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(address.Release)
	return address.String()
}

// hostEntries returns n entries of an endpoint list, with the hosts s-0, s-1 and so on.
func hostEntries(n int) string {
	var entries []string
	for i := range n {
		entries = append(entries, fmt.Sprintf(`{"host":"s-%d","dial":"127.0.0.1:1","site":"a","class":"m","block":1,"health":"Ready","share":1,"born_ms":0}`, i))
	}
	return strings.Join(entries, ",")
}

// nodeConfig returns a configuration with a limit on sockets and a number of endpoints in its cached list.
func nodeConfig(listen, discovery string, sockets, endpoints int) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1f","limits":{"cores":0.25,"memory_mb":48,"sockets":%d},
		"known":{"seq":7,"whole":true,"hosts":[%s]},"settings":{"localities":["a"],"resolution":4000,"discovery":"ask",
		"domain":{"dataPlaneSize":400,"period":1000000,"queueCap":50000,"envelope":6},
		"profiles":[{"name":"view","effect":"repeatable","slo":750000,"points":1}]}}`, listen, discovery, sockets, hostEntries(endpoints))
}

// startNode starts the program with a text as its configuration file. With an empty text the file is a FIFO that the test writes to.
func startNode(t *testing.T, address, text string) *nodeProcess {
	bin, err := program()
	if err != nil {
		t.Fatal(err)
	}
	p := &nodeProcess{t: t, address: address, configFile: filepath.Join(t.TempDir(), "config.json")}
	if text == "" {
		err = syscall.Mkfifo(p.configFile, 0o600)
	} else {
		err = os.WriteFile(p.configFile, []byte(text), 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	if p.log, err = os.CreateTemp(t.TempDir(), "log"); err != nil {
		t.Fatal(err)
	}
	p.Cmd = exec.Command(bin, "node")
	p.Env = append(os.Environ(), "NODE_CONFIG="+p.configFile)
	p.Stdout, p.Stderr = p.log, p.log
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.Process.Kill()
		_ = p.Wait()
		_ = p.log.Close()
	})
	return p
}

func (p *nodeProcess) output() string {
	text, _ := os.ReadFile(p.log.Name())
	return string(text)
}

func (p *nodeProcess) signal(s os.Signal) {
	p.t.Helper()
	if err := p.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// waitReady connects repeatedly until the process answers PING.
func (p *nodeProcess) waitReady() {
	p.t.Helper()
	for end := time.Now().Add(nodeTimeout); ; time.Sleep(time.Millisecond) {
		if conn, err := net.Dial("tcp", p.address); err == nil {
			_ = conn.SetDeadline(end)
			_, _ = conn.Write(resp.Append(nil, "PING"))
			got := make([]byte, len(proxyproto.PongReply))
			_, err := io.ReadFull(conn, got)
			if _ = conn.Close(); err == nil && bytes.Equal(got, proxyproto.PongReply) {
				return
			}
		}
		if time.Now().After(end) {
			p.t.Fatalf("PING is not answered before the timeout: %s", p.output())
		}
	}
}

// exitCode waits until the process has ended and returns its exit code.
func (p *nodeProcess) exitCode() int {
	p.t.Helper()
	var failed *exec.ExitError
	if err := p.Wait(); err != nil && !errors.As(err, &failed) {
		p.t.Fatal(err)
	}
	return p.ProcessState.ExitCode()
}

// nodeStream is a proxy's connection to the process.
type nodeStream struct {
	net.Conn
	node     *nodeProcess
	received []byte
}

// subscribe connects a proxy, which sends SUBSCRIBE.
func (p *nodeProcess) subscribe(proxy int) *nodeStream {
	p.t.Helper()
	conn, err := net.Dial("tcp", p.address)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = conn.Close() })
	s := &nodeStream{Conn: conn, node: p}
	s.send("SUBSCRIBE", "sidecar", strconv.Itoa(proxy), "az", "a", "share", "5", "standing", "1")
	return s
}

// subscribeWhenListening connects proxy 0 as soon as the process listens, with PING as the first message.
func (p *nodeProcess) subscribeWhenListening() *nodeStream {
	p.t.Helper()
	for end := time.Now().Add(nodeTimeout); ; time.Sleep(10 * time.Millisecond) {
		conn, err := net.Dial("tcp", p.address)
		if err == nil {
			p.t.Cleanup(func() { _ = conn.Close() })
			s := &nodeStream{Conn: conn, node: p}
			s.send("PING")
			s.send("SUBSCRIBE", "sidecar", "0", "az", "a", "share", "5", "standing", "1")
			return s
		}
		if time.Now().After(end) {
			p.t.Fatalf("the process does not listen before the timeout: %v: %s", err, p.output())
		}
	}
}

// send sends a message. It ignores errors: readUntil fails if the connection is closed.
func (s *nodeStream) send(words ...string) { _, _ = s.Write(resp.Append(nil, words...)) }

// readUntil reads until isComplete accepts everything that was received, and returns that.
func (s *nodeStream) readUntil(isComplete func(received []byte) bool) []byte {
	s.node.t.Helper()
	_ = s.SetReadDeadline(time.Now().Add(nodeTimeout))
	for !isComplete(s.received) {
		buf := make([]byte, 4096)
		n, err := s.Read(buf)
		s.received = append(s.received, buf[:n]...)
		if err != nil {
			s.node.t.Fatalf("read failed with %v after %q; output of the process: %s", err, s.received, s.node.output())
		}
	}
	return s.received
}

// startDiscovery starts a discovery service that sends the URI of each request to calls and leaves the response to respond.
func startDiscovery(t *testing.T, respond http.HandlerFunc) (address string, calls chan string) {
	calls = make(chan string, 64)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		calls <- request.URL.RequestURI()
		respond(w, request)
	}))
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return strings.TrimPrefix(s.URL, "http://"), calls
}

// hangUntilCanceled never responds.
func hangUntilCanceled(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() }

// openAndHang sends the response header and nothing else until the request is canceled.
func openAndHang(w http.ResponseWriter, request *http.Request) {
	w.(http.Flusher).Flush()
	<-request.Context().Done()
}
