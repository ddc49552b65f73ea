package inbound_test

import (
	"bytes"
	"testing"
	"testing/quick"
	"time"

	"porthub/inbound"
)

var start = time.Unix(1_700_000_000, 0)

// peer is a connection whose bytes are held.
type peer struct {
	buffer *inbound.Buffer
	closed bool
}

func newPeer(budget *inbound.Budget) *peer {
	p := &peer{}
	p.buffer = budget.NewBuffer(func() { p.closed = true })
	return p
}

// hold adds bytes that remain unprocessed.
func (p *peer) hold(now time.Time, count int) {
	p.buffer.Add(now, make([]byte, count))
	p.buffer.Consume(now, 0)
}

// A peer that stopped in the middle of a large message is closed in favor of others, and neither peers that hold little nor a peer
// whose large message has just begun are.
func TestLongestHoldersAreEvicted(t *testing.T) {
	budget := inbound.NewBudget(1000)
	var stopped []*peer
	for range 3 {
		p := newPeer(budget)
		p.hold(start, 300)
		stopped = append(stopped, p)
	}
	small := newPeer(budget)
	small.hold(start, 5)
	large := newPeer(budget)
	large.hold(start.Add(10*time.Second), 400)
	if large.closed || small.closed {
		t.Errorf("closed: the peer whose message has just begun %t, the one that holds little %t; want neither", large.closed, small.closed)
	}
	closed := 0
	for _, p := range stopped {
		if p.closed != p.buffer.Evicted() {
			t.Errorf("closed is %t, evicted %t, want both or neither", p.closed, p.buffer.Evicted())
		}
		if p.closed {
			closed++
			p.buffer.Close()
		}
	}
	if closed == 0 || closed != int(budget.Evictions()) || budget.Held() > 1000 {
		t.Errorf("%d of 3 stopped peers are closed, %d evictions, %d bytes held; want some, as many, and 1000 at most", closed, budget.Evictions(), budget.Held())
	}
	for _, p := range append(stopped, small, large) {
		p.buffer.Close()
	}
	if budget.Held() != 0 {
		t.Errorf("%d bytes are held after all peers were closed, want 0", budget.Held())
	}
}

// A peer that has completed a message before keeps its connection while others have completed none, even if it holds more.
func TestProvenPeersAreEvictedLast(t *testing.T) {
	budget := inbound.NewBudget(1000)
	proven := newPeer(budget)
	proven.buffer.Add(start, make([]byte, 10))
	proven.buffer.Consume(start, 10)
	proven.hold(start, 600)
	for second := range 20 {
		newPeer(budget).hold(start.Add(time.Duration(second)*time.Second), 200)
	}
	if proven.closed || budget.Evictions() == 0 || budget.Held() > 1000 {
		t.Errorf("the proven peer is closed: %t; %d evictions, %d bytes held; want false, some, and 1000 at most", proven.closed, budget.Evictions(), budget.Held())
	}
}

// A peer that completes messages all the time is not evicted for the beginning of the next one.
func TestProgressKeepsAPeer(t *testing.T) {
	budget := inbound.NewBudget(1000)
	steady, stopped := newPeer(budget), newPeer(budget)
	stopped.hold(start, 300)
	now := start
	for range 100 {
		now = now.Add(time.Second)
		steady.buffer.Add(now, make([]byte, 500))
		steady.buffer.Consume(now, 450)
		steady.buffer.Add(now, nil)
		steady.buffer.Consume(now, steady.buffer.Len()-50)
	}
	newPeer(budget).hold(now, 700)
	if steady.closed || !stopped.closed {
		t.Errorf("closed: the steady peer %t, the stopped one %t; want only the latter", steady.closed, stopped.closed)
	}
}

// A few bytes that remain of many do not hold the memory of all.
func TestRestTakesLittleMemory(t *testing.T) {
	budget := inbound.NewBudget(1 << 30)
	p := newPeer(budget)
	p.hold(start, 10)
	for range 3 {
		unread := p.buffer.Add(start, make([]byte, 64<<10))
		p.buffer.Consume(start, len(unread)-10)
		if held := budget.Held(); held < 10 || held > 1000 {
			t.Errorf("%d bytes are held for 10, want little more", held)
		}
	}
}

// A connection that ends while its bytes are processed holds none afterward: they would count forever.
func TestClosedConnectionHoldsNothing(t *testing.T) {
	for name, held := range map[string]int{"bytes held before": 10, "none held before": 0} {
		budget := inbound.NewBudget(1 << 30)
		p := newPeer(budget)
		p.hold(start, held)
		p.buffer.Add(start, make([]byte, 1000))
		p.buffer.Close()
		p.buffer.Consume(start, 100)
		if budget.Held() != 0 || len(p.buffer.Add(start, nil)) != 0 {
			t.Errorf("%s: %d bytes are held by a closed connection, want 0", name, budget.Held())
		}
	}
}

// The memory of a closed connection is used for later ones, but not while the closed connection's bytes are still processed.
func TestMemoryIsUsedAgain(t *testing.T) {
	const size = 100_000
	budget := inbound.NewBudget(1 << 30)
	closedInUse := newPeer(budget)
	closedInUse.hold(start, size)
	inUse := closedInUse.buffer.Add(start, nil)
	closedInUse.buffer.Close()
	other := newPeer(budget)
	other.buffer.Add(start, bytes.Repeat([]byte("x"), size))
	other.buffer.Consume(start, 0)
	if bytes.Contains(inUse, []byte("x")) {
		t.Error("bytes that are still processed were overwritten")
	}
	other.buffer.Close()
	allocated := testing.AllocsPerRun(100, func() {
		p := newPeer(budget)
		p.hold(start, size)
		p.buffer.Close()
	})
	if allocated > 6 { // the chunk itself, the peer, its buffer and account; none of them for the held bytes
		t.Errorf("%v allocations for a connection, want at most 6", allocated)
	}
}

// However bytes arrive and are processed, they come out unchanged and in order, and the budget counts at least what is held.
func TestBytesAreKeptInOrder(t *testing.T) {
	budget := inbound.NewBudget(1 << 30)
	check := func(chunks [][]byte, steps []byte) bool {
		p := newPeer(budget)
		defer p.buffer.Close()
		if len(chunks) > 0 { // large enough for memory that is used again
			chunks[0] = bytes.Repeat(append([]byte("large"), chunks[0]...), 10_000)
		}
		var sent, got []byte
		for i, chunk := range chunks {
			sent = append(sent, chunk...)
			memory := bytes.Clone(chunk)
			unread := p.buffer.Add(start, memory)
			processed := 0
			if len(steps) > 0 {
				processed = int(steps[i%len(steps)]) % (len(unread) + 1)
			}
			got = append(got, unread[:processed]...)
			p.buffer.Consume(start, processed)
			clear(memory) // the event loop reads the next bytes into it
			if budget.Held() < p.buffer.Len() {
				return false
			}
		}
		got = append(got, p.buffer.Add(start, nil)...)
		return bytes.Equal(sent, got)
	}
	if err := quick.Check(check, &quick.Config{MaxCount: 2000}); err != nil {
		t.Error(err)
	}
}
