package chaos

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"
)

// pollWatch records which gateways have received tables, and when each received the drain. It is safe for concurrent use.
type pollWatch struct {
	mu             sync.Mutex   // guards all below
	hasDrainTarget map[int]bool // by gateway with a table: whether that contains the drain target, not marked as draining
	drainedAt      time.Time
	drainTimes     map[int]time.Duration // by gateway: from the drain to a table without the target; nil before the drain
	err            error                 // most recent error of a connection
	disconnects    int
}

// errDrainNotReceived is returned if no gateway received the drain.
var errDrainNotReceived = errors.New("no gateway received a table without the drained endpoint")

// recordDisconnect counts a connection that failed or could not be established, and records its error. It ignores the end of
// the run.
func (w *pollWatch) recordDisconnect(err error) {
	if err == nil || errors.Is(err, context.Canceled) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.err = err
	w.disconnects++
}

// startDrain begins the measurement of the drain and returns the number of gateways whose tables contain the drain target.
func (w *pollWatch) startDrain(at time.Time) (affected int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, has := range w.hasDrainTarget {
		if has {
			affected++
		}
	}
	w.drainedAt = at
	w.drainTimes = map[int]time.Duration{}
	return affected
}

// observe records the drain time if a gateway's new table is its first without the drain target after the drain. It also records
// whether the table contains the target, unless the table has no endpoints.
func (w *pollWatch) observe(gateway int, hasDrainTarget bool, endpoints int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, updated := w.drainTimes[gateway]; w.drainTimes != nil && !updated && w.hasDrainTarget[gateway] && !hasDrainTarget {
		w.drainTimes[gateway] = time.Since(w.drainedAt)
	}
	if endpoints > 0 {
		w.hasDrainTarget[gateway] = hasDrainTarget
	}
}

func (w *pollWatch) countTables() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.hasDrainTarget)
}

func (w *pollWatch) countUpdated() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.drainTimes)
}

func (w *pollWatch) lastError() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// fillResult fills in the measured times. It returns an error if no gateway received the drain.
func (w *pollWatch) fillResult(result *PollResult) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	times := slices.Sorted(maps.Values(w.drainTimes))
	result.UpdatedGateways = len(times)
	if len(times) == 0 {
		return errors.Join(errDrainNotReceived, w.err)
	}
	result.DrainTime = Latency{P50: milliseconds(times[len(times)/2]), P99: milliseconds(times[len(times)*99/100])}
	result.MaxDrainTime = milliseconds(times[len(times)-1])
	result.Disconnects = w.disconnects
	return nil
}
