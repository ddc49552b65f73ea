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

// Names of a gateway's files.
const (
	EndpointFile = "eds.json"
	RouteFile    = "rds.json"
)

const (
	minBackoff          = 100 * time.Millisecond
	maxBackoff          = 2 * time.Second
	maxBackoffDoublings = 6 // limits the shift of minBackoff; maxBackoff is reached earlier
)

var errGatewayName = errors.New("the name is not valid as a directory name")

// Publisher writes documents to files. A publication replaces an earlier one of the same gateway that is still queued, so
// that at most one publication is queued for each gateway if the disk is slow. It is safe for concurrent use.
type Publisher struct {
	dir       string
	onFailure func(coordinator.Gateway, error)
	writers   sync.WaitGroup

	mu       sync.Mutex // guards the fields below and all gateway states
	cond     *sync.Cond // signaled when the queue grows and when closed is set
	gateways map[coordinator.Gateway]*gatewayState
	queue    []coordinator.Gateway
	closed   bool
	stats    Stats
}

// gatewayState holds a gateway's last publication and which of its documents are dirty, that is, still to be written. A
// document that could not be written stays dirty even if a later publication does not change it.
type gatewayState struct {
	publication coordinator.Publish
	dirty       [routing.DocumentCount]bool
	queued      bool
	writing     bool // one writer at a time works on a gateway, so that its documents are written in order
	failures    int  // consecutive failed attempts
}

// markDirty marks the changed documents as dirty.
func (s *gatewayState) markDirty(documents [routing.DocumentCount]bool) {
	for document, changed := range documents {
		s.dirty[document] = s.dirty[document] || changed
	}
}

// Stats counts writes since the start.
type Stats struct {
	Files      int   `cbor:"Files" json:"Files"`       // files written
	Bytes      int64 `cbor:"Bytes" json:"Bytes"`       // bytes written
	Unchanged  int   `cbor:"Same" json:"Same"`         // files not written because they already had the content
	Superseded int   `cbor:"Merged" json:"Merged"`     // publications replaced by later ones before they were written
	Failures   int   `cbor:"Failed" json:"Failed"`     // failed attempts to write a publication
	Unsynced   int   `cbor:"Unsynced" json:"Unsynced"` // files replaced without syncing them to disk
}

// Open creates the directory, removes the temporary files of writers that were killed, and starts the writers, which Close
// stops. It calls onFailure after each failed attempt to write a publication. The Publisher retries until an attempt
// succeeds or something newer is published.
func Open(dir string, writers int, onFailure func(coordinator.Gateway, error)) (*Publisher, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("create the table directory: %w", err)
	}
	if _, err := RemoveTemporaryFiles(dir); err != nil {
		return nil, fmt.Errorf("remove temporary files from the table directory: %w", err)
	}
	p := &Publisher{dir: dir, onFailure: onFailure, gateways: map[coordinator.Gateway]*gatewayState{}}
	p.cond = sync.NewCond(&p.mu)
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

// enqueue queues a gateway that has dirty documents, unless it is already queued or a writer is working on it: finish
// enqueues it again. The caller holds the mutex.
func (p *Publisher) enqueue(gateway coordinator.Gateway, state *gatewayState) {
	hasWork := state.dirty != [routing.DocumentCount]bool{}
	if state.queued || state.writing || !hasWork || p.closed {
		return
	}
	state.queued = true
	p.queue = append(p.queue, gateway)
	p.cond.Signal()
}

// Stats returns the current counts.
func (p *Publisher) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// Close stops the writers. Writes in progress are completed, queued publications are dropped.
func (p *Publisher) Close() {
	p.mu.Lock()
	p.closed = true
	p.cond.Broadcast()
	p.mu.Unlock()
	p.writers.Wait()
}

// next waits until a gateway is queued, removes the first one from the queue and returns its publication, with Changed set
// to the documents to write. It returns false once the Publisher is closed.
func (p *Publisher) next() (coordinator.Publish, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.queue) == 0 && !p.closed {
		p.cond.Wait()
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

// finish records the result of writing a publication and, after a failure, schedules a retry.
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
	backoff := min(minBackoff<<min(state.failures, maxBackoffDoublings), maxBackoff)
	time.AfterFunc(backoff, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.enqueue(publication.Gateway, state)
	})
}

func (p *Publisher) writeDocuments(publication coordinator.Publish) error {
	name := string(publication.Gateway)
	if strings.ContainsAny(name, "/\\") || name == "" || name[0] == '.' {
		return fmt.Errorf("gateway %q: %w", name, errGatewayName)
	}
	dir := filepath.Join(p.dir, name)
	if err := os.MkdirAll(dir, 0o755); err != nil { // for each publication, since the directory may have been removed
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

// writeDocument replaces a file unless it already has the same content.
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
