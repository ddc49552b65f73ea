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

	"porthub/proxyproto"
	"porthub/resp"
)

// program is the built program, made once for all tests of it.
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

// process is one of the program's.
type process struct {
	*exec.Cmd
	t             *testing.T
	file, address string
	log           *os.File
}

// free is an address that nobody has.
func free(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func hosts(n int) string {
	var entries []string
	for i := range n {
		entries = append(entries, fmt.Sprintf(`{"host":"s-%d","dial":"127.0.0.1:1","site":"a","class":"m","block":1,"health":"Ready","share":1,"born_ms":0}`, i))
	}
	return strings.Join(entries, ",")
}

func configText(listen, discovery string, sockets, backends int) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1f","limits":{"cores":0.25,"memory_mb":48,"sockets":%d},
		"known":{"seq":7,"whole":true,"hosts":[%s]},"settings":{"localities":["a"],"resolution":4000,"discovery":"ask",
		"domain":{"dataPlaneSize":400,"period":1000000,"queueCap":50000,"envelope":6},
		"profiles":[{"name":"view","effect":"repeatable","slo":750000,"points":1}]}}`, listen, discovery, sockets, hosts(backends))
}

// launch starts the program with a configuration in a file, or with a file that the test fills itself.
func launch(t *testing.T, address, text string) *process {
	bin, err := program()
	if err != nil {
		t.Fatal(err)
	}
	c := &process{t: t, address: address, file: filepath.Join(t.TempDir(), "config.json")}
	if text == "" {
		err = syscall.Mkfifo(c.file, 0o600)
	} else {
		err = os.WriteFile(c.file, []byte(text), 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	if c.log, err = os.CreateTemp(t.TempDir(), "log"); err != nil {
		t.Fatal(err)
	}
	c.Cmd = exec.Command(bin, "node")
	c.Env = append(os.Environ(), "NODE_CONFIG="+c.file)
	c.Stdout, c.Stderr = c.log, c.log
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = c.Process.Kill()
		_ = c.Wait()
		_ = c.log.Close()
	})
	return c
}

func (c *process) said() string {
	text, _ := os.ReadFile(c.log.Name())
	return string(text)
}

func (c *process) signal(s os.Signal) {
	c.t.Helper()
	if err := c.Process.Signal(s); err != nil {
		c.t.Fatal(err)
	}
}

// pong dials until a sign of life is answered.
func (c *process) pong() {
	c.t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		if conn, err := net.Dial("tcp", c.address); err == nil {
			_ = conn.SetDeadline(end)
			_, _ = conn.Write(resp.Append(nil, "PING"))
			got := make([]byte, len(proxyproto.PongReply))
			_, err := io.ReadFull(conn, got)
			if _ = conn.Close(); err == nil && bytes.Equal(got, proxyproto.PongReply) {
				return
			}
		}
		if time.Now().After(end) {
			c.t.Fatalf("no sign of life: %s", c.said())
		}
	}
}

// calls is a discovery that says who asks, and does what it is told with them.
func calls(t *testing.T, answer func(http.ResponseWriter, *http.Request)) (address string, came chan string) {
	came = make(chan string, 64)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		came <- req.URL.RequestURI()
		answer(w, req)
	}))
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return strings.TrimPrefix(s.URL, "http://"), came
}

func hang(_ http.ResponseWriter, req *http.Request) { <-req.Context().Done() }

// From exec to the first sign of life, with a list of hundreds, whatever discovery does: it is not waited for.
func TestReadyWhateverDiscoveryDoes(t *testing.T) {
	for name, discovery := range map[string]func() string{
		"hangs":   func() string { a, _ := calls(t, hang); return a },
		"refuses": func() string { return free(t) },
		"busy": func() string {
			a, _ := calls(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
			return a
		},
		"silent": func() string { // its watch opens and says nothing
			a, _ := calls(t, func(w http.ResponseWriter, req *http.Request) { w.(http.Flusher).Flush(); <-req.Context().Done() })
			return a
		},
	} {
		t.Run(name, func(t *testing.T) {
			address := free(t)
			text := configText(address, discovery(), 256, 600)
			if _, err := program(); err != nil { // built before the clock runs
				t.Fatal(err)
			}
			began := time.Now()
			c := launch(t, address, text)
			c.pong()
			if took := time.Since(began); took > 2*time.Second {
				t.Errorf("ready after %s", took)
			} else {
				t.Logf("ready after %s", took)
			}
		})
	}
}

// A new configuration is told of while the first one is still being read: the process goes on, and reads again.
func TestHangupBeforeReady(t *testing.T) {
	address := free(t)
	discovery, came := calls(t, hang)
	c := launch(t, address, "")
	w, err := os.OpenFile(c.file, os.O_WRONLY, 0) // waits until it reads
	if err != nil {
		t.Fatal(err)
	}
	c.signal(syscall.SIGHUP)
	whole := c.file + ".new"
	if err := os.WriteFile(whole, []byte(configText(address, discovery, 256, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(whole, c.file); err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(w, configText(address, free(t), 256, 1))
	_ = w.Close()
	c.pong()
	select {
	case <-came: // by the configuration that the signal told of
	case <-time.After(20 * time.Second):
		t.Fatalf("it was not read again: %s", c.said())
	}
}

// A configuration that is read while it is half written is read again, without another signal.
func TestHalfAConfiguration(t *testing.T) {
	address := free(t)
	first, _ := calls(t, hang)
	second, came := calls(t, hang)
	c := launch(t, address, configText(address, first, 256, 1))
	c.pong()
	fifo := c.file + ".fifo"
	if err := syscall.Mkfifo(fifo, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(fifo, c.file); err != nil {
		t.Fatal(err)
	}
	c.signal(syscall.SIGHUP)
	text := configText(address, second, 512, 1)
	half, err := os.OpenFile(c.file, os.O_WRONLY, 0) // waits until it reads
	if err != nil {
		t.Fatal(err)
	}
	whole := c.file + ".new"
	if err := os.WriteFile(whole, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(whole, c.file); err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(half, text[:len(text)/2])
	_ = half.Close()
	select {
	case <-came:
	case <-time.After(20 * time.Second):
		t.Fatalf("it was not read again: %s", c.said())
	}
	if !strings.Contains(c.said(), `"ignored":["limits"]`) {
		t.Errorf("nothing says that the limits differ: %s", c.said())
	}
}

// As many connections as want to, discovery that never answers and moves again and again: the descriptors stay within the
// limit, and whoever has joined goes on.
func TestDescriptorsStayWithinTheLimit(t *testing.T) {
	const sockets = 64
	address := free(t)
	discovery, came := calls(t, hang)
	c := launch(t, address, configText(address, discovery, sockets, 4))
	c.pong()
	most := 0
	count := func() {
		names, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", c.Process.Pid))
		if err != nil {
			t.Fatalf("%v: %s", err, c.said())
		}
		most = max(most, len(names))
	}
	join := func(proxy int) net.Conn {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		_, _ = conn.Write(resp.Append(nil, "SUBSCRIBE", "sidecar", strconv.Itoa(proxy), "az", "a", "share", "5", "standing", "1"))
		return conn
	}
	first := join(0)
	<-came
	for i := 1; i < 3*sockets; i++ {
		join(i)
		if count(); i%sockets == 0 {
			var next string
			next, came = calls(t, hang)
			if err := os.WriteFile(c.file, []byte(configText(address, next, sockets, 4)), 0o600); err != nil {
				t.Fatal(err)
			}
			c.signal(syscall.SIGHUP)
			<-came
		}
	}
	count()
	_, _ = first.Write(resp.Append(nil, "PING"))
	_ = first.SetReadDeadline(time.Now().Add(20 * time.Second))
	var got []byte
	for !bytes.Contains(got, proxyproto.PongReply) {
		buf := make([]byte, 4096)
		n, err := first.Read(buf)
		if got = append(got, buf[:n]...); err != nil {
			t.Fatalf("%v: %s", err, c.said())
		}
	}
	if most > sockets || most < sockets/2 {
		t.Errorf("%d descriptors, %d may be", most, sockets)
	}
	c.signal(syscall.SIGTERM)
	if err := c.Wait(); err != nil {
		t.Error(err)
	}
}

// The built program, started as the platform starts it: it answers a sign of life, hands a proxy its table, reads its
// configuration again and ends on SIGTERM with 0. What it is told wrong is said in one line, with the codes of all commands.
func TestNodeFromOutside(t *testing.T) {
	bin, err := program()
	if err != nil {
		t.Fatal(err)
	}
	watched := make(chan string, 16)
	lists := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		w.(http.Flusher).Flush()
		watched <- req.URL.RequestURI()
		<-req.Context().Done()
	}))
	defer lists.Close()
	defer lists.CloseClientConnections()
	address := free(t)
	file := filepath.Join(t.TempDir(), "config.json")
	config := `{"name":"n0","listen":"` + address + `","discovery":"` + strings.TrimPrefix(lists.URL, "http://") + `","seed":"1f",
		"limits":{"cores":0.25,"memory_mb":48,"sockets":256},
		"known":{"seq":7,"whole":true,"hosts":[{"host":"s-1","dial":"127.0.0.1:1","site":"a","class":"m","block":1,"health":"Ready","share":1,"born_ms":0}]},
		"settings":{"localities":["a"],"resolution":4000,"discovery":"ask","domain":{"dataPlaneSize":4,"period":1000000,"queueCap":5000,"envelope":6},
		"profiles":[{"name":"view","effect":"repeatable","slo":750000,"points":1}]}}`
	run := func(text string) (*exec.Cmd, func() string) {
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		log, err := os.CreateTemp(t.TempDir(), "log")
		if err != nil {
			t.Fatal(err)
		}
		defer log.Close()
		cmd := exec.Command(bin, "node")
		cmd.Env = append(os.Environ(), "NODE_CONFIG="+file)
		cmd.Stdout, cmd.Stderr = log, log
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		return cmd, func() string {
			text, _ := os.ReadFile(log.Name())
			return string(text)
		}
	}
	code := func(cmd *exec.Cmd) int {
		var failed *exec.ExitError
		if err := cmd.Wait(); err != nil && !errors.As(err, &failed) {
			t.Fatal(err)
		}
		return cmd.ProcessState.ExitCode()
	}
	cmd, out := run(config)
	var c net.Conn
	for end := time.Now().Add(20 * time.Second); ; {
		if c, err = net.Dial("tcp", address); err == nil {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("nobody listens: %v: %s", err, out())
		}
		time.Sleep(10 * time.Millisecond)
	}
	defer c.Close()
	_, _ = c.Write(resp.Append(nil, "PING"))
	_, _ = c.Write(resp.Append(nil, "SUBSCRIBE", "sidecar", "0", "az", "a", "share", "5", "standing", "1"))
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	var got []byte
	for !bytes.Contains(got, []byte("s-1:")) {
		buf := make([]byte, 4096)
		n, err := c.Read(buf)
		if got = append(got, buf[:n]...); err != nil {
			t.Fatalf("%v after %q: %s", err, got, out())
		}
	}
	if words, n, err := resp.Parse(got, proxyproto.IncomingLimits); err != nil || n == 0 || string(words[0]) != "PONG" {
		t.Errorf("first comes %q", got)
	}
	if uri := <-watched; uri != "/discovery/hosts?watch=1&from=7" {
		t.Errorf("asked discovery for %s", uri)
	}
	taken, takenOut := run(config)
	if n := code(taken); n != exitEnvironment || strings.Count(takenOut(), "\n") != 1 {
		t.Errorf("an address that is taken: %d, %s", n, takenOut())
	}
	if err := os.WriteFile(file, []byte("{"), 0o644); err != nil { // half a configuration: the old one stays in force
		t.Fatal(err)
	}
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(20 * time.Second); !strings.Contains(out(), "the configuration stays as it is"); {
		if time.Now().After(end) {
			t.Fatalf("nothing is said of a bad file: %s", out())
		}
		time.Sleep(10 * time.Millisecond)
	}
	_, _ = c.Write(resp.Append(nil, "PING"))
	for !bytes.HasSuffix(got, []byte("PONG\r\n")) || len(got) < 40 {
		buf := make([]byte, 4096)
		n, err := c.Read(buf)
		if got = append(got, buf[:n]...); err != nil {
			t.Fatalf("the stream ends with SIGHUP: %v", err)
		}
	}
	began := time.Now()
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if n := code(cmd); n != exitWell || time.Since(began) > 5*time.Second {
		t.Errorf("SIGTERM: %d after %s: %s", n, time.Since(began), out())
	}
	if _, err := io.ReadAll(c); err != nil && !errors.Is(err, syscall.ECONNRESET) {
		t.Error(err)
	}
	for want, text := range map[string]string{"not the JSON": "{", "settings": `{"listen":"a:1","discovery":"b:2"}`, "listen": `{"discovery":"b:2"}`} {
		cmd, out := run(text)
		if n := code(cmd); n != exitUsage || !strings.Contains(out(), want) || strings.Count(out(), "\n") != 1 {
			t.Errorf("%s: %d, %s", text, n, out())
		}
	}
	none := exec.Command(bin, "node")
	none.Env = []string{}
	if text, _ := none.CombinedOutput(); none.ProcessState.ExitCode() != exitUsage || !strings.Contains(string(text), "NODE_CONFIG") {
		t.Errorf("without variables: %d, %s", none.ProcessState.ExitCode(), text)
	}
}
