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

// The time from exec to the first answered PING, with a list of hundreds, does not depend on discovery.
func TestReadyWhateverDiscoveryDoes(t *testing.T) {
	for name, discovery := range map[string]func() string{
		"hangs":   func() string { address, _ := startDiscovery(t, hangUntilCanceled); return address },
		"refuses": func() string { return freeAddress(t) },
		"busy": func() string {
			address, _ := startDiscovery(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
			return address
		},
		"silent": func() string { // its watch opens and has no lines
			address, _ := startDiscovery(t, openAndHang)
			return address
		},
	} {
		t.Run(name, func(t *testing.T) {
			address := freeAddress(t)
			text := nodeConfig(address, discovery(), 256, 600)
			if _, err := program(); err != nil { // built before the clock runs
				t.Fatal(err)
			}
			began := time.Now()
			node := startNode(t, address, text)
			node.waitReady()
			if took := time.Since(began); took > 2*time.Second {
				t.Errorf("ready after %s", took)
			} else {
				t.Logf("ready after %s", took)
			}
		})
	}
}

// SIGHUP comes while the first configuration is still being read: the process goes on, and reads again.
func TestHangupBeforeReady(t *testing.T) {
	address := freeAddress(t)
	discovery, calls := startDiscovery(t, hangUntilCanceled)
	node := startNode(t, address, "")
	fifo, err := os.OpenFile(node.configFile, os.O_WRONLY, 0) // waits until the process reads
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
	case <-calls: // by the configuration that came with the signal
	case <-time.After(20 * time.Second):
		t.Fatalf("the configuration was not read again: %s", node.output())
	}
}

// A configuration that is read while it is half written is read again, without another signal.
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
	half, err := os.OpenFile(node.configFile, os.O_WRONLY, 0) // waits until the process reads
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
		t.Errorf("the change of limits is not logged: %s", node.output())
	}
}

// With more connections than the limit, and a discovery that never responds and changes its address again and again, the descriptors stay
// within the limit, and a connected proxy stays connected.
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
			t.Fatalf("%v: %s", err, node.output())
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
		t.Errorf("%d descriptors, limit %d", maxDescriptors, sockets)
	}
	node.signal(syscall.SIGTERM)
	if err := node.Wait(); err != nil {
		t.Error(err)
	}
}

// The built program, started as the platform starts it: it answers PING, sends a proxy its table, reads its configuration again, keeps the
// current one if the new one is invalid, and ends on SIGTERM with 0.
func TestNodeLifecycle(t *testing.T) {
	address := freeAddress(t)
	discovery, calls := startDiscovery(t, openAndHang)
	node := startNode(t, address, nodeConfig(address, discovery, 256, 2))
	proxy := node.subscribeWhenListening()
	received := proxy.readUntil(func(received []byte) bool { return bytes.Contains(received, []byte("s-1:")) })
	if words, size, err := resp.Parse(received, proxyproto.IncomingLimits); err != nil || size == 0 || string(words[0]) != "PONG" {
		t.Errorf("the first message is in %q", received)
	}
	if uri := <-calls; uri != "/discovery/hosts?watch=1&from=7" {
		t.Errorf("called discovery by %s", uri)
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
		t.Errorf("SIGTERM: %d after %s: %s", code, time.Since(began), node.output())
	}
	if _, err := io.ReadAll(proxy); err != nil && !errors.Is(err, syscall.ECONNRESET) {
		t.Error(err)
	}
}

// A start that fails says why in one line, and ends with the exit codes of all commands.
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
				t.Errorf("exit code %d, %s", code, node.output())
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
			t.Errorf("exit code %d, %s", cmd.ProcessState.ExitCode(), output)
		}
	})
}
