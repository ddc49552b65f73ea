package emulator

import (
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"

	"porthub/audit"
)

// World is what all stand-ins of one run share: the clock from its start, the audit's log and the ways between zones.
type World struct {
	Start time.Time
	Log   *audit.Log
	Rules WarmUpRules
	Seed  uint64

	mu   sync.Mutex
	cuts map[string]bool // zones cut off from the others
}

// WarmUpRules are how stand-in nodes warm up and fall over.
type WarmUpRules struct {
	WarmUp          time.Duration
	InitialCapacity float64
	OverloadFactor  float64
	OverloadWindow  time.Duration
}

// NewWorld starts a run's clock.
func NewWorld(log *audit.Log, rules WarmUpRules, seed uint64) *World {
	return &World{Start: time.Now(), Log: log, Rules: rules, Seed: seed, cuts: map[string]bool{}}
}

// Now is the time since the start.
func (w *World) Now() time.Duration { return time.Since(w.Start) }

// Rand is a source of chance of its own for a name, the same in each run with the same seed.
func (w *World) Rand(name string) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return rand.New(rand.NewPCG(w.Seed, h.Sum64()))
}

// SetPartitioned takes a zone off the others, or back.
func (w *World) SetPartitioned(zone string, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cuts[zone] = on
}

// Blocked tells whether nothing passes between two zones.
func (w *World) Blocked(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return a != b && (w.cuts[a] || w.cuts[b])
}
