package proxyserver

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"porthub/httpclient"
)

// framingBytes is the number of bytes that follow a line without belonging to the next one: the end of its chunk.
const framingBytes = len("\r\n")

// watchProgress ends a watch that is silent, or of which a line takes too long. It counts the bytes of the connection: a body in
// chunks returns a chunk only when all of it has arrived. The connection may be read by another goroutine than the one that reads the
// body.
type watchProgress struct {
	mu        sync.Mutex // guards the fields below
	active    bool
	unread    int // bytes since the last complete line
	receiving *atomic.Bool
	lineLimit time.Duration
	silence   *time.Timer // ends the watch if no bytes arrive for watchTimeout
	limit     *time.Timer // ends the watch if a line takes longer than lineLimit
}

// newWatchProgress returns the progress of a watch that cancel ends. receiving is set while some of a line has arrived.
func newWatchProgress(cancel context.CancelCauseFunc, lineLimit time.Duration, receiving *atomic.Bool) *watchProgress {
	p := &watchProgress{
		receiving: receiving,
		lineLimit: lineLimit,
		silence:   time.AfterFunc(watchTimeout, func() { cancel(fmt.Errorf("%w for %s", httpclient.ErrSilent, watchTimeout)) }),
		limit:     time.AfterFunc(lineLimit, func() { cancel(fmt.Errorf("%w: a line took more than %s", httpclient.ErrTooSlow, lineLimit)) }),
	}
	p.stop()
	return p
}

// start begins to count the bytes of the first line.
func (p *watchProgress) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active = true
	p.silence.Reset(watchTimeout)
}

// stop stops the timers.
func (p *watchProgress) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active = false
	p.silence.Stop()
	p.limit.Stop()
}

// bytesRead counts bytes that have arrived on the connection.
func (p *watchProgress) bytesRead(count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.active {
		return
	}
	p.silence.Reset(watchTimeout)
	p.unread += count
	if p.unread > framingBytes && !p.receiving.Load() {
		p.receiving.Store(true)
		p.limit.Reset(p.lineLimit)
	}
}

// lineDelivered records that a line has ended and the owner has been sent it.
func (p *watchProgress) lineDelivered() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unread = 0
	p.receiving.Store(false)
	p.limit.Stop()
}
