// Package files hands gateways their tables by the xDS v3 filesystem subscription: for each gateway a folder, in it a
// DiscoveryResponse for each resource type, moved into place whole.
//
//	DIR/GATEWAY/eds.json   ClusterLoadAssignment, one resource a request kind
//	DIR/GATEWAY/rds.json   RouteConfiguration
//
// Endpoints are written before routes. A reader that opens either file reads one whole document, whatever happens to
// the writer: the text goes to a hidden file beside it, is synced and renamed over it.
package files

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/google/renameio/v2"

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

	mu      sync.Mutex
	wake    *sync.Cond
	waiting map[coordinator.Gateway]*job
	queue   []coordinator.Gateway
	busy    map[coordinator.Gateway]bool
	closed  bool
	done    sync.WaitGroup

	stats Stats
}

// Stats counts what was written since the start.
type Stats struct {
	Files  int   // written
	Bytes  int64 // in them
	Same   int   // not written: they held that already
	Merged int   // publications that a later one overtook
	Failed int   // tries that failed
}

type job struct {
	publish coordinator.Publish
	tries   int
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
	f := &Front{dir: dir, failed: failed, waiting: map[coordinator.Gateway]*job{}, busy: map[coordinator.Gateway]bool{}}
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
	if old := f.waiting[p.Gateway]; old != nil {
		f.stats.Merged++
		for d := range p.Changed {
			p.Changed[d] = p.Changed[d] || old.publish.Changed[d]
		}
		old.publish, old.tries = p, 0
		return
	}
	f.waiting[p.Gateway] = &job{publish: p}
	f.queue = append(f.queue, p.Gateway)
	f.wake.Signal()
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

// next takes the first waiting publication whose gateway no other writer is at, so that a gateway's documents are
// written in order.
func (f *Front) next() (*job, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for {
		if f.closed {
			return nil, false
		}
		for i, g := range f.queue {
			if !f.busy[g] {
				f.queue = append(f.queue[:i:i], f.queue[i+1:]...)
				j := f.waiting[g]
				delete(f.waiting, g)
				f.busy[g] = true
				return j, true
			}
		}
		f.wake.Wait()
	}
}

func (f *Front) write() {
	defer f.done.Done()
	for {
		j, more := f.next()
		if !more {
			return
		}
		g := j.publish.Gateway
		err := f.put(j.publish)
		f.mu.Lock()
		delete(f.busy, g)
		if err != nil {
			f.stats.Failed++
			if f.waiting[g] == nil && !f.closed { // nothing newer: the same again after a while
				j.tries++
				wait := min(retryFirst<<min(j.tries, 6), retryMost)
				time.AfterFunc(wait, func() { f.again(j) })
			} else if newer := f.waiting[g]; newer != nil {
				for d := range newer.publish.Changed {
					newer.publish.Changed[d] = newer.publish.Changed[d] || j.publish.Changed[d]
				}
			}
		}
		f.wake.Broadcast()
		f.mu.Unlock()
		if err != nil {
			f.failed(g, err)
		}
	}
}

func (f *Front) again(j *job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := j.publish.Gateway
	if newer := f.waiting[g]; newer != nil {
		for d := range newer.publish.Changed {
			newer.publish.Changed[d] = newer.publish.Changed[d] || j.publish.Changed[d]
		}
	} else if !f.closed && !f.busy[g] {
		f.waiting[g] = j
		f.queue = append(f.queue, g)
		f.wake.Signal()
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
	if p.Changed[coordinator.Endpoints] {
		m, err := xds.Endpoints(p.Version, p.Nonce, p.Snapshot.Clusters)
		if err != nil {
			return err
		}
		text, err := xds.Encode(m)
		if err != nil {
			return err
		}
		if err := f.replace(filepath.Join(dir, EndpointFile), text); err != nil {
			return err
		}
	}
	if p.Changed[coordinator.Routes] {
		m, err := xds.RouteDocument(p.Version, p.Nonce, p.Snapshot.Routes)
		if err != nil {
			return err
		}
		text, err := xds.Encode(m)
		if err != nil {
			return err
		}
		return f.replace(filepath.Join(dir, RouteFile), text)
	}
	return nil
}

func (f *Front) replace(path string, text []byte) error {
	if held, err := os.ReadFile(path); err == nil && string(held) == string(text) {
		f.mu.Lock()
		f.stats.Same++
		f.mu.Unlock()
		return nil
	}
	// The hidden file stands in the same folder: a rename from elsewhere might copy, and a copy can be read half.
	if err := renameio.WriteFile(path, text, 0o644, renameio.WithTempDir(filepath.Dir(path))); err != nil {
		return err
	}
	f.mu.Lock()
	f.stats.Files++
	f.stats.Bytes += int64(len(text))
	f.mu.Unlock()
	return nil
}
