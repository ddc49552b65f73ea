// Package xdsfile hands gateways their tables by the xDS v3 filesystem subscription: for each gateway a folder, in it a
// DiscoveryResponse for each resource type, moved into place whole.
//
//	DIR/GATEWAY/eds.json   ClusterLoadAssignment, one resource a request kind
//	DIR/GATEWAY/rds.json   RouteConfiguration
//
// EndpointsDocument are written before routes. A reader that opens either file reads one whole document, whatever happens to
// the writer: the text goes to a hidden file beside it, is synced and renamed over it.
package xdsfile

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/google/renameio/v2"
	"google.golang.org/protobuf/proto"

	"porthub/coordinator"
	"porthub/xds"
)

// The names of a gateway's files.
const (
	EndpointFile = "eds.json"
	RouteFile    = "rds.json"
)

// Front writes documents. A gateway's later publication takes the place of an earlier one that is still waiting, so
// a slow disk costs at most one waiting publication a gateway.
type Front struct {
	dir    string
	failed func(coordinator.Gateway, error)

	mu     sync.Mutex
	wake   *sync.Cond
	states map[coordinator.Gateway]*state
	queue  []coordinator.Gateway
	closed bool
	done   sync.WaitGroup

	stats Stats
}

// state is what is to be done for one gateway: always the last publication, and which of its documents are not
// written yet. A document that could not be written stays to be written whatever comes after it.
type state struct {
	last   coordinator.Publish
	dirty  [2]bool
	queued bool
	busy   bool
	tries  int
}

// Stats counts what was written since the start.
type Stats struct {
	Files  int   `cbor:"Files" json:"Files"`   // written
	Bytes  int64 `cbor:"Bytes" json:"Bytes"`   // in them
	Same   int   `cbor:"Same" json:"Same"`     // not written: they held that already
	Merged int   `cbor:"Merged" json:"Merged"` // publications that a later one overtook
	Failed int   `cbor:"Failed" json:"Failed"` // tries that failed
	// Unsynced files were moved into place without waiting for the disk.
	Unsynced int `cbor:"Unsynced" json:"Unsynced"`
}

const (
	retryFirst = 100 * time.Millisecond
	retryMost  = 2 * time.Second
)

// Open prepares the folder, sweeps what a killed writer left, and starts the writers. The function is told of each
// failure to write; the front tries again by itself until it works or something newer comes.
func Open(dir string, writers int, failed func(coordinator.Gateway, error)) (*Front, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("front: %w", err)
	}
	if _, err := Sweep(dir); err != nil {
		return nil, fmt.Errorf("front: %w", err)
	}
	f := &Front{dir: dir, failed: failed, states: map[coordinator.Gateway]*state{}}
	f.wake = sync.NewCond(&f.mu)
	for range max(1, writers) {
		f.done.Add(1)
		go f.write()
	}
	return f, nil
}

// Sweep removes the hidden files that a writer killed before its rename has left, and returns how many there were.
func Sweep(dir string) (swept int, err error) {
	for _, name := range []string{EndpointFile, RouteFile} {
		left, err := filepath.Glob(filepath.Join(dir, "*", "."+name+"*"))
		if err != nil {
			return swept, err
		}
		for _, path := range left {
			if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
				return swept, err
			}
			swept++
		}
	}
	return swept, nil
}

// Publish takes a publication and returns at once.
func (f *Front) Publish(p coordinator.Publish) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return
	}
	s := f.states[p.Gateway]
	if s == nil {
		s = &state{}
		f.states[p.Gateway] = s
	}
	if s.queued {
		f.stats.Merged++
	}
	s.last, s.tries = p, 0
	for d, changed := range p.Changed {
		s.dirty[d] = s.dirty[d] || changed
	}
	f.enqueue(p.Gateway, s)
}

// enqueue puts a gateway into the queue unless it is there, or a writer is at it and will look again.
func (f *Front) enqueue(g coordinator.Gateway, s *state) {
	if !s.queued && !s.busy && s.dirty != ([2]bool{}) && !f.closed {
		s.queued = true
		f.queue = append(f.queue, g)
		f.wake.Signal()
	}
}

// Stats returns what was written so far.
func (f *Front) Stats() Stats {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stats
}

// Close ends the writers; what is being written is finished, what waits is dropped.
func (f *Front) Close() {
	f.mu.Lock()
	f.closed = true
	f.wake.Broadcast()
	f.mu.Unlock()
	f.done.Wait()
}

// next takes the first gateway of the queue and what it is to have. No two writers are at one gateway, so that its
// documents are written in order.
func (f *Front) next() (coordinator.Publish, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(f.queue) == 0 && !f.closed {
		f.wake.Wait()
	}
	if f.closed {
		return coordinator.Publish{}, false
	}
	s := f.states[f.queue[0]]
	f.queue = f.queue[1:]
	p := s.last
	p.Changed, s.dirty = s.dirty, [2]bool{}
	s.queued, s.busy = false, true
	return p, true
}

func (f *Front) write() {
	defer f.done.Done()
	for {
		p, more := f.next()
		if !more {
			return
		}
		err := f.put(p)
		f.mu.Lock()
		s := f.states[p.Gateway]
		s.busy = false
		if err == nil {
			s.tries = 0
			f.enqueue(p.Gateway, s)
		} else {
			f.stats.Failed++
			for d, changed := range p.Changed {
				s.dirty[d] = s.dirty[d] || changed
			}
			s.tries++
			time.AfterFunc(min(retryFirst<<min(s.tries, 6), retryMost), func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.enqueue(p.Gateway, s)
			})
		}
		f.mu.Unlock()
		if err != nil {
			f.failed(p.Gateway, err)
		}
	}
}

func (f *Front) put(p coordinator.Publish) error {
	dir := filepath.Join(f.dir, string(p.Gateway))
	if strings.ContainsAny(string(p.Gateway), "/\\") || p.Gateway == "" || p.Gateway[0] == '.' {
		return fmt.Errorf("front: %q can't name a folder", p.Gateway)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil { // again if somebody has removed it
		return err
	}
	if p.Changed[coordinator.EndpointsDocument] {
		m, err := xds.NewEndpointDocument(p.Version, p.Nonce, p.Snapshot.Clusters)
		if err := f.send(filepath.Join(dir, EndpointFile), m, err, p.Sync); err != nil {
			return err
		}
	}
	if p.Changed[coordinator.RoutesDocument] {
		m, err := xds.NewRouteDocument(p.Version, p.Nonce, p.Snapshot.Routes)
		return f.send(filepath.Join(dir, RouteFile), m, err, p.Sync)
	}
	return nil
}

// send writes a document that was made, or passes on why it was not.
func (f *Front) send(path string, m proto.Message, err error, sync bool) error {
	if err != nil {
		return err
	}
	text, err := xds.Encode(m)
	if err != nil {
		return err
	}
	return f.replace(path, text, sync)
}

func (f *Front) replace(path string, text []byte, sync bool) error {
	if held, err := os.ReadFile(path); err == nil && string(held) == string(text) {
		f.mu.Lock()
		f.stats.Same++
		f.mu.Unlock()
		return nil
	}
	// The hidden file stands in the same folder: a rename from elsewhere might copy, and a copy can be read half.
	write := Replace
	if sync {
		write = func(path string, text []byte) error {
			return renameio.WriteFile(path, text, 0o644, renameio.WithTempDir(filepath.Dir(path)))
		}
	}
	if err := write(path, text); err != nil {
		return err
	}
	f.mu.Lock()
	f.stats.Files++
	if f.stats.Bytes += int64(len(text)); !sync {
		f.stats.Unsynced++
	}
	f.mu.Unlock()
	return nil
}

// Replace replaces a file whole without waiting for the disk: a killed process leaves the one or the other.
func Replace(path string, text []byte) error {
	t, err := os.CreateTemp(filepath.Dir(path), "."+filepath.Base(path)+"*")
	if err != nil {
		return err
	}
	_, err = t.Write(text)
	if err == nil {
		err = t.Chmod(0o644)
	}
	if cerr := t.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		err = os.Rename(t.Name(), path)
	}
	if err != nil {
		_ = os.Remove(t.Name())
	}
	return err
}
