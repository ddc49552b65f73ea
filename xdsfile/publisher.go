package xdsfile

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"porthub/coordinator"
	"porthub/routing"
	"porthub/xds"
)

// The names of a gateway's files.
const (
	EndpointFile = "eds.json"
	RouteFile    = "rds.json"
)

const (
	minBackoff       = 100 * time.Millisecond
	maxBackoff       = 2 * time.Second
	maxBackoffDouble = 6 // doublings after which maxBackoff is reached for certain
)

var errGatewayName = errors.New("is not valid as a directory name")

// Publisher writes documents. A gateway's later publication replaces an earlier one that still waits, so a slow disk
// costs at most one waiting publication for each gateway. It is safe for concurrent use.
type Publisher struct {
	dir       string
	onFailure func(coordinator.Gateway, error)
	writers   sync.WaitGroup

	mu       sync.Mutex // guards what follows, and all gateway states
	wake     *sync.Cond // signals a longer queue, or closed
	gateways map[coordinator.Gateway]*gatewayState
	queue    []coordinator.Gateway
	closed   bool
	stats    Stats
}

// gatewayState is what is to be written for one gateway: always of the last publication, those documents that are not
// written yet. A document that could not be written stays dirty whatever is published after it.
type gatewayState struct {
	publication coordinator.Publish
	dirty       [routing.DocumentCount]bool
	queued      bool
	writing     bool // by one writer: a gateway's documents are written in order
	failures    int  // consecutive
}

// markDirty adds documents to those that are to be written.
func (s *gatewayState) markDirty(documents [routing.DocumentCount]bool) {
	for document, changed := range documents {
		s.dirty[document] = s.dirty[document] || changed
	}
}

// Stats counts writes since the start.
type Stats struct {
	Files      int   `cbor:"Files" json:"Files"`       // written
	Bytes      int64 `cbor:"Bytes" json:"Bytes"`       // in them
	Unchanged  int   `cbor:"Same" json:"Same"`         // not written: they had that content already
	Superseded int   `cbor:"Merged" json:"Merged"`     // publications replaced by a later one before they were written
	Failures   int   `cbor:"Failed" json:"Failed"`     // attempts that failed
	Unsynced   int   `cbor:"Unsynced" json:"Unsynced"` // files renamed without waiting for the disk
}

// Open creates the directory, removes what a killed writer left behind, and starts the writers, which Close ends. The
// function onFailure is called with each failure to write; the Publisher retries until it succeeds or something newer is
// published.
func Open(dir string, writers int, onFailure func(coordinator.Gateway, error)) (*Publisher, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("front: %w", err)
	}
	if _, err := RemoveTemporaryFiles(dir); err != nil {
		return nil, fmt.Errorf("front: %w", err)
	}
	p := &Publisher{dir: dir, onFailure: onFailure, gateways: map[coordinator.Gateway]*gatewayState{}}
	p.wake = sync.NewCond(&p.mu)
	for range max(1, writers) {
		p.writers.Go(p.runWriter)
	}
	return p, nil
}

// Publish queues a publication and returns at once.
func (p *Publisher) Publish(publication coordinator.Publish) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	state := p.gateways[publication.Gateway]
	if state == nil {
		state = &gatewayState{}
		p.gateways[publication.Gateway] = state
	}
	if state.queued {
		p.stats.Superseded++
	}
	state.publication = publication
	state.failures = 0
	state.markDirty(publication.Changed)
	p.enqueue(publication.Gateway, state)
}

// enqueue queues a gateway unless it is queued, or a writer works on it and will enqueue it again. The caller holds the
// mutex.
func (p *Publisher) enqueue(gateway coordinator.Gateway, state *gatewayState) {
	hasWork := state.dirty != [routing.DocumentCount]bool{}
	if state.queued || state.writing || !hasWork || p.closed {
		return
	}
	state.queued = true
	p.queue = append(p.queue, gateway)
	p.wake.Signal()
}

// Stats returns the counts.
func (p *Publisher) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// Close ends the writers. Writes in progress are finished, queued ones are dropped.
func (p *Publisher) Close() {
	p.mu.Lock()
	p.closed = true
	p.wake.Broadcast()
	p.mu.Unlock()
	p.writers.Wait()
}

// next waits for the first gateway of the queue and returns its publication, with the documents to write as Changed. It
// reports false once the Publisher is closed.
func (p *Publisher) next() (coordinator.Publish, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.queue) == 0 && !p.closed {
		p.wake.Wait()
	}
	if p.closed {
		return coordinator.Publish{}, false
	}
	state := p.gateways[p.queue[0]]
	p.queue = p.queue[1:]
	publication := state.publication
	publication.Changed = state.dirty
	state.dirty = [routing.DocumentCount]bool{}
	state.queued = false
	state.writing = true
	return publication, true
}

// runWriter writes publications until the Publisher is closed.
func (p *Publisher) runWriter() {
	for {
		publication, ok := p.next()
		if !ok {
			return
		}
		err := p.writeDocuments(publication)
		p.finish(publication, err)
		if err != nil {
			p.onFailure(publication.Gateway, err)
		}
	}
}

// finish records the outcome of a write, and schedules a retry after a failure.
func (p *Publisher) finish(publication coordinator.Publish, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.gateways[publication.Gateway]
	state.writing = false
	if err == nil {
		state.failures = 0
		p.enqueue(publication.Gateway, state)
		return
	}
	p.stats.Failures++
	state.markDirty(publication.Changed)
	state.failures++
	backoff := min(minBackoff<<min(state.failures, maxBackoffDouble), maxBackoff)
	time.AfterFunc(backoff, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.enqueue(publication.Gateway, state)
	})
}

func (p *Publisher) writeDocuments(publication coordinator.Publish) error {
	name := string(publication.Gateway)
	if strings.ContainsAny(name, "/\\") || name == "" || name[0] == '.' {
		return fmt.Errorf("front: %q %w", name, errGatewayName)
	}
	dir := filepath.Join(p.dir, name)
	if err := os.MkdirAll(dir, 0o755); err != nil { // each time: somebody may have removed it
		return err
	}
	if publication.Changed[coordinator.EndpointsDocument] {
		message, err := xds.NewEndpointDocument(publication.Version, publication.Nonce, publication.Snapshot.Clusters)
		if err != nil {
			return err
		}
		if err := p.writeDocument(filepath.Join(dir, EndpointFile), message, publication.Sync); err != nil {
			return err
		}
	}
	if publication.Changed[coordinator.RoutesDocument] {
		message, err := xds.NewRouteDocument(publication.Version, publication.Nonce, publication.Snapshot.Routes)
		if err != nil {
			return err
		}
		return p.writeDocument(filepath.Join(dir, RouteFile), message, publication.Sync)
	}
	return nil
}

// writeDocument replaces a file unless it has that content already.
func (p *Publisher) writeDocument(path string, message proto.Message, sync bool) error {
	text, err := xds.Encode(message)
	if err != nil {
		return err
	}
	if current, err := os.ReadFile(path); err == nil && string(current) == string(text) {
		p.count(func(stats *Stats) { stats.Unchanged++ })
		return nil
	}
	replace := ReplaceFile
	if sync {
		replace = replaceFileSynced
	}
	if err := replace(path, text); err != nil {
		return err
	}
	p.count(func(stats *Stats) {
		stats.Files++
		stats.Bytes += int64(len(text))
		if !sync {
			stats.Unsynced++
		}
	})
	return nil
}

func (p *Publisher) count(change func(*Stats)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.stats)
}
