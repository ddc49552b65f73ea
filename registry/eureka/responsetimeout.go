package eureka

import (
	"errors"
	"time"

	"porthub/httpclient"
)

// maxResponseTimeout bounds the time that a response may take, however slowly it arrives.
const maxResponseTimeout = time.Minute

// responseTimeFactor is the multiple of the time that the last successful response took that the next one may take.
const responseTimeFactor = 2

// responseTimeout is how long a response may take. It grows while the responses of all peers have begun and not ended in time:
// each poll reads its response from the beginning, so that with a fixed timeout a slow registry would never be read. A peer that is
// silent is given up after Options.Timeout in any case.
type responseTimeout struct {
	initial time.Duration // Options.Timeout
	current time.Duration
	slow    bool // a response has taken too long since the last success or growth
}

// succeeded adapts the timeout to the time that a response took.
func (t *responseTimeout) succeeded(took time.Duration) {
	t.slow = false
	t.current = min(max(t.initial, responseTimeFactor*took), max(t.initial, maxResponseTimeout))
}

// failed records the error of a poll.
func (t *responseTimeout) failed(err error) { t.slow = t.slow || errors.Is(err, httpclient.ErrTooSlow) }

// allPeersFailed doubles the timeout if one of them was slow.
func (t *responseTimeout) allPeersFailed() {
	if t.slow {
		t.current = min(2*t.current, max(t.initial, maxResponseTimeout))
	}
	t.slow = false
}
