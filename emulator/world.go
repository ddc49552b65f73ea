package emulator

import (
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"

	"porthub/audit"
)

// World holds the state that all emulated processes of a run share. It is safe for concurrent use.
type World struct {
	Start time.Time
	Log   *audit.Log
	Rules WarmUpRules
	Seed  uint64

	mu          sync.Mutex      // guards partitioned
	partitioned map[string]bool // zones that are disconnected from all other zones
}

// WarmUpRules define how endpoints warm up and when overload makes them collapse. With the zero value, endpoints have their
// full capacity from the start.
type WarmUpRules struct {
	WarmUp          time.Duration
	InitialCapacity float64 // at the start, as a fraction of the full capacity
	OverloadFactor  float64 // work per overload window beyond which a warming endpoint collapses, as a multiple of its capacity
	OverloadWindow  time.Duration
}

// capacity returns the capacity of a warming endpoint as a fraction of its full capacity. It grows linearly with its age.
func (r WarmUpRules) capacity(age time.Duration) float64 {
	return r.InitialCapacity + (1-r.InitialCapacity)*float64(age)/float64(r.WarmUp)
}

// NewWorld returns a World whose clock starts now.
func NewWorld(log *audit.Log, rules WarmUpRules, seed uint64) *World {
	return &World{Start: time.Now(), Log: log, Rules: rules, Seed: seed, partitioned: map[string]bool{}}
}

// Now returns the time since the start of the run.
func (w *World) Now() time.Duration { return time.Since(w.Start) }

// Rand returns a random number generator for a name. It yields the same sequence in each run with the same seed.
func (w *World) Rand(name string) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return rand.New(rand.NewPCG(w.Seed, h.Sum64()))
}

// SetPartitioned disconnects a zone from all other zones, or reconnects it.
func (w *World) SetPartitioned(zone string, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.partitioned[zone] = on
}

// Blocked reports whether a partition separates two zones.
func (w *World) Blocked(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return a != b && (w.partitioned[a] || w.partitioned[b])
}
