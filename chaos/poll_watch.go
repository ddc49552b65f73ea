package chaos

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"
)

// pollWatch collects which gateways have tables and when each was sent the drain. It is safe for concurrent use.
type pollWatch struct {
	mu          sync.Mutex   // guards all below
	hasFirst    map[int]bool // by gateway with a table: whether it has the first endpoint
	drainedAt   time.Time
	wakes       map[int]time.Duration // by gateway, since the drain; nil before it
	err         error                 // the last one
	disconnects int
}

// errNoPollAnswered is returned if a drain reached no gateway.
var errNoPollAnswered = errors.New("no poll was answered with the drain")

// noteDisconnect records why a connection ended.
func (w *pollWatch) noteDisconnect(err error) {
	if err == nil || errors.Is(err, context.Canceled) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.err = err
	w.disconnects++
}

// begin begins the measurement and returns how many gateways have the endpoint that is drained.
func (w *pollWatch) begin(at time.Time) (holders int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, has := range w.hasFirst {
		if has {
			holders++
		}
	}
	w.drainedAt = at
	w.wakes = map[int]time.Duration{}
	return holders
}

// observe records a gateway's endpoints: whether the first one is among them, and how many there are.
func (w *pollWatch) observe(gateway int, hasFirst bool, endpoints int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, woken := w.wakes[gateway]; w.wakes != nil && !woken && w.hasFirst[gateway] && !hasFirst {
		w.wakes[gateway] = time.Since(w.drainedAt)
	}
	if endpoints > 0 {
		w.hasFirst[gateway] = hasFirst
	}
}

func (w *pollWatch) countTables() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.hasFirst)
}

func (w *pollWatch) countWoken() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.wakes)
}

func (w *pollWatch) lastError() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// fill fills in what was measured. It is an error if no gateway was woken.
func (w *pollWatch) fill(result *PollResult) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	times := slices.Sorted(maps.Values(w.wakes))
	result.UpdatedGateways = len(times)
	if len(times) == 0 {
		return errors.Join(errNoPollAnswered, w.err)
	}
	result.DrainTime = Latency{P50: milliseconds(times[len(times)/2]), P99: milliseconds(times[len(times)*99/100])}
	result.MaxDrainTime = milliseconds(times[len(times)-1])
	result.Disconnects = w.disconnects
	return nil
}
