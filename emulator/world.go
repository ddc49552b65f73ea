package emulator

import (
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"

	"porthub/audit"
)

// World is what all emulated processes of one run share. It is safe for concurrent use.
type World struct {
	Start time.Time
	Log   *audit.Log
	Rules WarmUpRules
	Seed  uint64

	mu          sync.Mutex      // guards partitioned
	partitioned map[string]bool // zones that are cut off from the others
}

// WarmUpRules are how endpoints warm up and when they collapse. The zero value has no warm-up.
type WarmUpRules struct {
	WarmUp          time.Duration
	InitialCapacity float64 // at the beginning, as a part of the full capacity
	OverloadFactor  float64 // work that an endpoint withstands while it warms up, as a multiple of its capacity
	OverloadWindow  time.Duration
}

// capacity is the part of its full capacity that an endpoint has at an age: it grows linearly.
func (r WarmUpRules) capacity(age time.Duration) float64 {
	return r.InitialCapacity + (1-r.InitialCapacity)*float64(age)/float64(r.WarmUp)
}

// NewWorld starts the clock of a run.
func NewWorld(log *audit.Log, rules WarmUpRules, seed uint64) *World {
	return &World{Start: time.Now(), Log: log, Rules: rules, Seed: seed, partitioned: map[string]bool{}}
}

// Now is the time since the start.
func (w *World) Now() time.Duration { return time.Since(w.Start) }

// Rand returns a source of random numbers for a name. It is the same in each run with the same seed.
func (w *World) Rand(name string) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return rand.New(rand.NewPCG(w.Seed, h.Sum64()))
}

// SetPartitioned cuts a zone off from the others, or connects it again.
func (w *World) SetPartitioned(zone string, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.partitioned[zone] = on
}

// Blocked reports whether nothing passes between two zones.
func (w *World) Blocked(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return a != b && (w.partitioned[a] || w.partitioned[b])
}
