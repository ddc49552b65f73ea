package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"porthub/proxyproto"
	"porthub/resp"
)

// With hundreds of endpoints in its cached list, the process answers its first PING within 2 s of its start, whether discovery hangs,
// refuses connections, responds with an error, or sends no changes.
func TestReadyWhateverDiscoveryDoes(t *testing.T) {
	for name, discovery := range map[string]func() string{
		"hangs":   func() string { address, _ := startDiscovery(t, hangUntilCanceled); return address },
		"refuses": func() string { return freeAddress(t) },
		"busy": func() string {
			address, _ := startDiscovery(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
			return address
		},
		"silent": func() string { // the watch opens, but no line follows
			address, _ := startDiscovery(t, openAndHang)
			return address
		},
	} {
		t.Run(name, func(t *testing.T) {
			address := freeAddress(t)
			text := nodeConfig(address, discovery(), 256, 600)
			if _, err := program(); err != nil { // the build is not part of the time measured
				t.Fatal(err)
			}
			began := time.Now()
			node := startNode(t, address, text)
			node.waitReady()
			if took := time.Since(began); took > 2*time.Second {
				t.Errorf("ready after %s, want at most 2 s", took)
			} else {
				t.Logf("ready after %s", took)
			}
		})
	}
}

// A SIGHUP that arrives while the first configuration is being read does not end the process, and the configuration is read again.
func TestHangupBeforeReady(t *testing.T) {
	address := freeAddress(t)
	discovery, calls := startDiscovery(t, hangUntilCanceled)
	node := startNode(t, address, "")
	fifo, err := os.OpenFile(node.configFile, os.O_WRONLY, 0) // blocks until the process opens the file
	if err != nil {
		t.Fatal(err)
	}
	node.signal(syscall.SIGHUP)
	complete := node.configFile + ".new"
	if err := os.WriteFile(complete, []byte(nodeConfig(address, discovery, 256, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(complete, node.configFile); err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(fifo, nodeConfig(address, freeAddress(t), 256, 1))
	_ = fifo.Close()
	node.waitReady()
	select {
	case <-calls: // to the address in the configuration that replaced the first
	case <-time.After(20 * time.Second):
		t.Fatalf("the configuration was not read again: %s", node.output())
	}
}

// A configuration that is read while only half of it is written is read again without another signal.
func TestReloadOfPartialConfiguration(t *testing.T) {
	address := freeAddress(t)
	first, _ := startDiscovery(t, hangUntilCanceled)
	second, calls := startDiscovery(t, hangUntilCanceled)
	node := startNode(t, address, nodeConfig(address, first, 256, 1))
	node.waitReady()
	fifo := node.configFile + ".fifo"
	if err := syscall.Mkfifo(fifo, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(fifo, node.configFile); err != nil {
		t.Fatal(err)
	}
	node.signal(syscall.SIGHUP)
	text := nodeConfig(address, second, 512, 1)
	half, err := os.OpenFile(node.configFile, os.O_WRONLY, 0) // blocks until the process opens the file
	if err != nil {
		t.Fatal(err)
	}
	complete := node.configFile + ".new"
	if err := os.WriteFile(complete, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(complete, node.configFile); err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(half, text[:len(text)/2])
	_ = half.Close()
	select {
	case <-calls:
	case <-time.After(20 * time.Second):
		t.Fatalf("the configuration was not read again: %s", node.output())
	}
	if !strings.Contains(node.output(), `"ignored":["limits"]`) {
		t.Errorf("the log does not report that the change of limits is ignored: %s", node.output())
	}
}

// The number of descriptors stays within the limit, and a connected proxy stays connected, while more connections than the limit are
// opened and discovery never responds and changes its address repeatedly.
func TestDescriptorsStayWithinTheLimit(t *testing.T) {
	const sockets = 64
	address := freeAddress(t)
	discovery, calls := startDiscovery(t, hangUntilCanceled)
	node := startNode(t, address, nodeConfig(address, discovery, sockets, 4))
	node.waitReady()
	maxDescriptors := 0
	count := func() {
		names, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", node.Process.Pid))
		if err != nil {
			t.Fatalf("can't list the descriptors of the process: %v; output: %s", err, node.output())
		}
		maxDescriptors = max(maxDescriptors, len(names))
	}
	first := node.subscribe(0)
	<-calls
	for i := 1; i < 3*sockets; i++ {
		node.subscribe(i)
		if count(); i%sockets == 0 {
			var next string
			next, calls = startDiscovery(t, hangUntilCanceled)
			if err := os.WriteFile(node.configFile, []byte(nodeConfig(address, next, sockets, 4)), 0o600); err != nil {
				t.Fatal(err)
			}
			node.signal(syscall.SIGHUP)
			<-calls
		}
	}
	count()
	first.send("PING")
	first.readUntil(func(received []byte) bool { return bytes.Contains(received, proxyproto.PongReply) })
	if maxDescriptors > sockets || maxDescriptors < sockets/2 {
		t.Errorf("at most %d descriptors were open, want no more than the limit of %d and at least half of it", maxDescriptors, sockets)
	}
	node.signal(syscall.SIGTERM)
	if err := node.Wait(); err != nil {
		t.Error(err)
	}
}

// A process that is started as the platform starts it answers PING, sends a proxy its table, reads its configuration again on SIGHUP, keeps
// the current one if the new one is invalid, and exits on SIGTERM with code 0.
func TestNodeLifecycle(t *testing.T) {
	address := freeAddress(t)
	discovery, calls := startDiscovery(t, openAndHang)
	node := startNode(t, address, nodeConfig(address, discovery, 256, 2))
	proxy := node.subscribeWhenListening()
	received := proxy.readUntil(func(received []byte) bool { return bytes.Contains(received, []byte("s-1:")) })
	if words, size, err := resp.Parse(received, proxyproto.IncomingLimits); err != nil || size == 0 || string(words[0]) != "PONG" {
		t.Errorf("received %q, want PONG as the first message", received)
	}
	if uri := <-calls; uri != "/discovery/hosts?watch=1&from=7" {
		t.Errorf("discovery was requested with %s, want a watch from version 7", uri)
	}
	if err := os.WriteFile(node.configFile, []byte("{"), 0o644); err != nil {
		t.Fatal(err)
	}
	node.signal(syscall.SIGHUP)
	for end := time.Now().Add(nodeTimeout); !strings.Contains(node.output(), "the current one stays in force"); {
		if time.Now().After(end) {
			t.Fatalf("the invalid configuration is not logged: %s", node.output())
		}
		time.Sleep(10 * time.Millisecond)
	}
	proxy.send("PING")
	proxy.readUntil(func(received []byte) bool {
		return bytes.HasSuffix(received, []byte("PONG\r\n")) && len(received) >= 40
	})
	began := time.Now()
	node.signal(syscall.SIGTERM)
	if code := node.exitCode(); code != exitOK || time.Since(began) > 5*time.Second {
		t.Errorf("SIGTERM: exit code %d after %s, want 0 within 5 s; output: %s", code, time.Since(began), node.output())
	}
	if _, err := io.ReadAll(proxy); err != nil && !errors.Is(err, syscall.ECONNRESET) {
		t.Error(err)
	}
}

// A start that fails prints the reason as one line and exits with the code that all commands have for such a failure.
func TestNodeExitCodes(t *testing.T) {
	address := freeAddress(t)
	config := nodeConfig(address, freeAddress(t), 256, 1)
	startNode(t, address, config).waitReady()
	for name, c := range map[string]struct {
		config, output string
		code           int
	}{
		"address in use": {config, "address already in use", exitEnvironment},
		"not JSON":       {"{", "invalid JSON configuration", exitUsage},
		"no settings":    {`{"listen":"a:1","discovery":"b:2"}`, "settings", exitUsage},
		"no address":     {`{"discovery":"b:2"}`, "listen", exitUsage},
	} {
		t.Run(name, func(t *testing.T) {
			node := startNode(t, address, c.config)
			if code := node.exitCode(); code != c.code || !strings.Contains(node.output(), c.output) || strings.Count(node.output(), "\n") != 1 {
				t.Errorf("exit code %d, want %d; output %q, want one line with %q", code, c.code, node.output(), c.output)
			}
		})
	}
	t.Run("no variables", func(t *testing.T) {
		bin, err := program()
		if err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(bin, "node")
		cmd.Env = []string{}
		if output, _ := cmd.CombinedOutput(); cmd.ProcessState.ExitCode() != exitUsage || !strings.Contains(string(output), "NODE_CONFIG") {
			t.Errorf("exit code %d and output %s, want a usage error that names NODE_CONFIG", cmd.ProcessState.ExitCode(), output)
		}
	})
}
