package inbound

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Fraction of the limit that remains in use after evictions. The rest lets many bytes arrive before accounts must be compared again.
const (
	remainingNumerator   = 7
	remainingDenominator = 8
)

// Budget limits the bytes of all its accounts together.
type Budget struct {
	limit  int
	memory memoryPool // of its buffers

	mu        sync.Mutex // guards the fields below and those of the accounts that say so
	held      int        // bytes of all accounts that are not evicted
	holders   map[*Account]struct{}
	evictions int64
}

// NewBudget returns a budget with a limit in bytes.
func NewBudget(limit int) *Budget {
	return &Budget{limit: limit, memory: memoryPool{limit: limit / freeDivisor}, holders: map[*Account]struct{}{}}
}

// Held returns the bytes of all accounts that are not evicted.
func (b *Budget) Held() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Evictions returns how many accounts were evicted so far.
func (b *Budget) Evictions() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.evictions
}

// Account counts the bytes that are held for one connection.
type Account struct {
	budget *Budget
	evict  func() // closes the connection; called once at most, by any goroutine

	closed bool // used by the owner only

	evicted atomic.Bool // set with the budget's mutex locked

	// The fields below are written by the owner with the budget's mutex locked.
	bytes  int
	since  time.Time // when the bytes began to be held without progress
	proven bool      // the connection has completed a message
}

// NewAccount returns an account without bytes. The function evict must close the connection without waiting.
func (b *Budget) NewAccount(evict func()) *Account {
	return &Account{budget: b, evict: evict}
}

// Set sets the bytes that are held. If the budget's limit is exceeded, accounts are evicted, possibly this one.
func (a *Account) Set(now time.Time, bytes int) {
	if bytes == a.bytes || a.closed {
		return
	}
	for _, evicted := range a.budget.set(a, now, bytes) {
		evicted.evict()
	}
}

// Progress records that a message was completed: the bytes that are held now began to be held at this time.
func (a *Account) Progress(now time.Time) {
	if a.bytes == 0 && a.proven {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.since = now
	a.proven = true
}

// Evicted reports whether the connection is being closed in favor of others.
func (a *Account) Evicted() bool { return a.evicted.Load() }

// Bytes returns the bytes that are held. Only the owner may call it.
func (a *Account) Bytes() int { return a.bytes }

// Close releases the bytes. It must be called when the connection is closed. Later calls of Set have no effect: an event loop may
// notice the end of a connection while it processes the connection's bytes.
func (a *Account) Close() {
	a.Set(time.Time{}, 0)
	a.closed = true
}

// set changes the bytes of an account and returns the accounts to be evicted.
func (b *Budget) set(a *Account, now time.Time, bytes int) []*Account {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.bytes == 0 {
		a.since = now
	}
	grows := bytes > a.bytes
	if !a.evicted.Load() {
		b.held += bytes - a.bytes
	}
	a.bytes = bytes
	if a.evicted.Load() {
		return nil
	}
	if bytes == 0 {
		delete(b.holders, a)
		return nil
	}
	b.holders[a] = struct{}{}
	if !grows || b.held <= b.limit {
		return nil
	}
	return b.evictLongestHolders(now)
}

// evictLongestHolders evicts accounts until a part of the limit is free again, those with the most bytes for the longest time first.
// Connections that have never completed a message precede all others.
func (b *Budget) evictLongestHolders(now time.Time) (evicted []*Account) {
	byCost := make([]*Account, 0, len(b.holders))
	for a := range b.holders {
		byCost = append(byCost, a)
	}
	slices.SortFunc(byCost, func(a, c *Account) int {
		if a.proven != c.proven {
			if c.proven {
				return -1
			}
			return 1
		}
		return cmp.Compare(c.cost(now), a.cost(now))
	})
	for _, a := range byCost {
		if b.held <= b.limit/remainingDenominator*remainingNumerator {
			break
		}
		a.evicted.Store(true)
		b.held -= a.bytes
		b.evictions++
		delete(b.holders, a)
		evicted = append(evicted, a)
	}
	return evicted
}

// cost returns the product of an account's bytes and the time for which they have been held.
func (a *Account) cost(now time.Time) float64 {
	const shortest = time.Millisecond // so that of accounts that are new the largest comes first
	return float64(a.bytes) * max(now.Sub(a.since), shortest).Seconds()
}
