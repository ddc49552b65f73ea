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
	"strings"
	"syscall"
	"testing"
	"time"

	"porthub/front/resp"
	"porthub/platform"
)

// The built program, started as the platform starts it: it answers a sign of life, hands a proxy its table, reads its
// configuration again and ends on SIGTERM with 0. What it is told wrong is said in one line, with the codes of all commands.
func TestNodeFromOutside(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "porthub")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	watched := make(chan string, 16)
	lists := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		w.(http.Flusher).Flush()
		watched <- req.URL.RequestURI()
		<-req.Context().Done()
	}))
	defer lists.Close()
	defer lists.CloseClientConnections()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
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
	if words, n, err := resp.Take(got, platform.InLimits); err != nil || n == 0 || string(words[0]) != "PONG" {
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
	if text, _ := none.CombinedOutput(); none.ProcessState.ExitCode() != exitUsage || !strings.Contains(fmt.Sprintf("%s", text), "NODE_CONFIG") {
		t.Errorf("without variables: %d, %s", none.ProcessState.ExitCode(), text)
	}
}
