package proxyserver

import "time"

const (
	// deliveredAfter is the time after which a change counts as delivered, received or not.
	deliveredAfter = 6 * time.Second
	// maxPatience bounds the time that a line may take, however slow discovery is.
	maxPatience = time.Minute
)

// patience is how long a line of a watch, or a snapshot, may take while its bytes arrive. It starts at the time within which a
// change can still be in time for the proxies. It doubles each time a call is ended for it, so that a line that takes longer is
// received in the end, and is reset by the next list.
type patience struct{ initial, current time.Duration }

func newPatience(drainGracePeriod time.Duration) patience {
	initial := deliveredAfter + drainGracePeriod
	return patience{initial: initial, current: initial}
}

func (p *patience) double() { p.current = min(2*p.current, max(p.initial, maxPatience)) }

func (p *patience) reset() { p.current = p.initial }
