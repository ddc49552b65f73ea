package proxyserver

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// fakeDiscovery is a discovery that responds to each watch with the lines that the test sends.
type fakeDiscovery struct {
	*httptest.Server
	mu         sync.Mutex
	watches    map[chan string]bool
	rejectNext int         // number of further calls that are refused
	calls      chan string // the version that each watch requests, or "refused"
}

func newFakeDiscovery(t *testing.T) *fakeDiscovery {
	d := &fakeDiscovery{watches: map[chan string]bool{}, calls: make(chan string, 64)}
	d.Server = httptest.NewServer(http.HandlerFunc(d.serve))
	t.Cleanup(d.stop)
	return d
}

func (d *fakeDiscovery) stop() {
	d.CloseClientConnections()
	d.Close()
}

func (d *fakeDiscovery) serve(w http.ResponseWriter, req *http.Request) {
	d.mu.Lock()
	if d.rejectNext > 0 {
		d.rejectNext--
		d.mu.Unlock()
		d.calls <- "refused"
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	lines := make(chan string, 16)
	d.watches[lines] = true
	d.mu.Unlock()
	w.(http.Flusher).Flush()
	d.calls <- req.URL.Query().Get("from")
	defer func() {
		d.mu.Lock()
		delete(d.watches, lines)
		d.mu.Unlock()
	}()
	for {
		select {
		case <-req.Context().Done():
			return
		case line, open := <-lines:
			if !open {
				return
			}
			_, _ = io.WriteString(w, line+"\n")
			w.(http.Flusher).Flush()
		}
	}
}

// send sends a line to all watches. The empty line ends them.
func (d *fakeDiscovery) send(line string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for lines := range d.watches {
		if line == "" {
			close(lines)
			delete(d.watches, lines)
		} else {
			lines <- line
		}
	}
}

func (d *fakeDiscovery) address() string { return strings.TrimPrefix(d.URL, "http://") }

func hostEntry(name, health string) string {
	return fmt.Sprintf(`{"host":%q,"dial":"127.0.0.1:1","site":"a","class":"m","block":1,"health":%q,"share":1,"born_ms":0}`, name, health)
}

func listMessage(seq int, complete bool, hosts ...string) string {
	return fmt.Sprintf(`{"seq":%d,"whole":%t,"hosts":[%s]}`, seq, complete, strings.Join(hosts, ","))
}

// discoveryCall is a call to a manualDiscovery. It gets only the response that the test sends.
type discoveryCall struct {
	uri     string
	respond chan int    // receives the status of the response
	lines   chan string // lines of the response; closing the channel ends the response
	done    <-chan struct{}
}

// accept responds with the status 200 and some lines.
func (c *discoveryCall) accept(lines ...string) {
	c.respond <- http.StatusOK
	for _, l := range lines {
		c.lines <- l
	}
}

// sendHeartbeats sends the empty lines of an open watch until the test ends, more often than the protocol requires.
func (c *discoveryCall) sendHeartbeats(t *testing.T) {
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	go func() {
		for {
			select {
			case <-c.done:
				return
			case <-ended:
				return
			case <-time.After(lineTimeout / 10):
				select {
				case c.lines <- "":
				default:
				}
			}
		}
	}()
}

// manualDiscovery is a discovery to whose calls the test responds one by one.
type manualDiscovery struct {
	*httptest.Server
	calls chan *discoveryCall
}

func newManualDiscovery(t *testing.T) *manualDiscovery {
	discovery := &manualDiscovery{calls: make(chan *discoveryCall, 256)}
	discovery.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		call := &discoveryCall{uri: req.URL.RequestURI(), respond: make(chan int, 1), lines: make(chan string, 16), done: req.Context().Done()}
		discovery.calls <- call
		for {
			select {
			case <-call.done:
				return
			case status := <-call.respond:
				w.WriteHeader(status)
			case line, more := <-call.lines:
				if !more {
					return
				}
				_, _ = fmt.Fprintln(w, line)
			}
			w.(http.Flusher).Flush()
		}
	}))
	t.Cleanup(func() {
		discovery.CloseClientConnections()
		discovery.Close()
	})
	return discovery
}

func (d *manualDiscovery) address() string { return strings.TrimPrefix(d.URL, "http://") }

// nextCall returns the next call, which must be for the given URI.
func (d *manualDiscovery) nextCall(t *testing.T, uri string) *discoveryCall {
	t.Helper()
	call := receive(t, "call for "+uri, d.calls)
	if call.uri != uri {
		t.Fatalf("got a call for %s, want %s", call.uri, uri)
	}
	return call
}
