package emulator

import (
	"context"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"porthub/xds"
)

// Class is a request kind as clients know it.
type Class struct {
	Name             string
	Share            float64 // of all reqs
	Work             time.Duration
	LatencyObjective time.Duration
	ClientTimeout    time.Duration
	PriorityWeight   float64
	LateShare        float64 // part of it for an answer after the target
	Idempotent       bool
}

// ClientOptions are a client process's: it has a gateway of its own.
type ClientOptions struct {
	Name                string
	Classes             []Class
	Gateway             *Gateway
	RequestRate         float64 // usual reqs a second
	Retries             int
	AttemptTimeoutShare float64 // a try is given up after this part of the client timeout
	Backoff             time.Duration
	// TrafficFactor is how many times the usual traffic comes at a time, and Most the most it ever is.
	TrafficFactor    func(at time.Duration) float64
	MaxTrafficFactor float64
	// WorkFactor is how many times the usual work a req of a kind costs.
	WorkFactor func(at time.Duration, kind string, lot float64) float64
}

// Tally sums how the reqs of a run fared. It is safe for many goroutines.
type Tally struct {
	mu      sync.Mutex
	cells   map[Cell]*Sum
	answers *hdrhistogram.Histogram
	windows []Sum // of a second each
}

// Cell is a request kind in a zone.
type Cell struct{ Class, Zone string }

// Sum is what was asked and got.
type Sum struct {
	Requests, OnTime, Late int
	Demanded, Earned       float64 // payoff
}

// NewTally starts a tally.
func NewTally() *Tally {
	return &Tally{cells: map[Cell]*Sum{}, answers: hdrhistogram.New(1, 60_000_000, 3)}
}

func (t *Tally) add(c Cell, at time.Duration, k Class, done bool, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.cells[c]
	if s == nil {
		s = &Sum{}
		t.cells[c] = s
	}
	for len(t.windows) <= int(at/time.Second) {
		t.windows = append(t.windows, Sum{})
	}
	for _, s := range []*Sum{s, &t.windows[int(at/time.Second)]} {
		s.Requests, s.Demanded = s.Requests+1, s.Demanded+k.PriorityWeight
		switch {
		case done && took <= k.LatencyObjective:
			s.OnTime, s.Earned = s.OnTime+1, s.Earned+k.PriorityWeight
		case done:
			s.Late, s.Earned = s.Late+1, s.Earned+k.PriorityWeight*k.LateShare
		}
	}
	if done {
		_ = t.answers.RecordValue(max(1, took.Microseconds()))
	}
}

// Sums returns the cells and their total.
func (t *Tally) Sums() (map[Cell]Sum, Sum) {
	t.mu.Lock()
	defer t.mu.Unlock()
	out, all := map[Cell]Sum{}, Sum{}
	for c, s := range t.cells {
		out[c] = *s
		all = all.Add(*s)
	}
	return out, all
}

// WorstService is the worst stretch of so many seconds.
func (t *Tally) WorstService(seconds int) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	worst := 1.0
	for i := 0; i+seconds <= len(t.windows); i++ {
		var s Sum
		for _, w := range t.windows[i : i+seconds] {
			s = s.Add(w)
		}
		worst = min(worst, s.Service())
	}
	return worst
}

// ServiceBetween is the service of the reqs that came in whole seconds between two times.
func (t *Tally) ServiceBetween(from, to time.Duration) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var s Sum
	for i := int(from / time.Second); i < min(len(t.windows), int(to/time.Second)); i++ {
		s = s.Add(t.windows[i])
	}
	return s.Service()
}

// ServiceByWindow is the service of each stretch of so many seconds.
func (t *Tally) ServiceByWindow(seconds int) (out []float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := 0; i < len(t.windows); i += seconds {
		var s Sum
		for _, w := range t.windows[i:min(len(t.windows), i+seconds)] {
			s = s.Add(w)
		}
		out = append(out, s.Service())
	}
	return out
}

// RecordLatency adds an answer's time alone.
func (t *Tally) RecordLatency(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.answers.RecordValue(max(1, d.Microseconds()))
}

// Latencies are the times of what was answered, in microseconds, retries included.
func (t *Tally) Latencies() *hdrhistogram.Histogram {
	t.mu.Lock()
	defer t.mu.Unlock()
	return hdrhistogram.Import(t.answers.Export())
}

func (s Sum) Add(o Sum) Sum {
	return Sum{s.Requests + o.Requests, s.OnTime + o.OnTime, s.Late + o.Late, s.Demanded + o.Demanded, s.Earned + o.Earned}
}

// Service is the payoff got over the payoff asked for.
func (s Sum) Service() float64 {
	if s.Demanded == 0 {
		return 1
	}
	return s.Earned / s.Demanded
}

// Client makes reqs at random times, whether or not earlier ones are answered.
type Client struct {
	ClientOptions
	world *World
	tally *Tally
	http  *http.Client
	reqs  *atomic.Uint64
	rng   *rand.Rand
}

// NewClient prepares a client; reqs numbers the reqs of all clients of a fleet.
func NewClient(w *World, o ClientOptions, tally *Tally, reqs *atomic.Uint64) *Client {
	return &Client{ClientOptions: o, world: w, tally: tally, reqs: reqs, rng: w.Rand("client " + o.Name),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}}
}

// Run makes reqs until the time given and waits for their answers.
func (c *Client) Run(until time.Duration) {
	var flying sync.WaitGroup
	at := c.world.Now()
	most := max(1, c.MaxTrafficFactor)
	for {
		// Arrivals at the highest rate, of which the part is kept that the present rate is: the same draws in each run.
		at += time.Duration(c.rng.ExpFloat64() / (c.RequestRate * most) * float64(time.Second))
		keep, kindLot, workLot, dearLot := c.rng.Float64(), c.rng.Float64(), c.rng.NormFloat64(), c.rng.Float64()
		if at >= until {
			break
		}
		if keep*most >= c.TrafficFactor(at) {
			continue
		}
		if wait := at - c.world.Now(); wait > 0 {
			time.Sleep(wait)
		}
		kind := c.Classes[len(c.Classes)-1]
		for _, k := range c.Classes {
			if kindLot -= k.Share; kindLot < 0 {
				kind = k
				break
			}
		}
		const spread = 0.4
		work := time.Duration(float64(kind.Work) * math.Exp(spread*workLot-spread*spread/2) * c.WorkFactor(at, kind.Name, dearLot))
		flying.Add(1)
		go func(at time.Duration) {
			defer flying.Done()
			c.ask(at, kind, c.reqs.Add(1), work)
		}(at)
	}
	flying.Wait()
	c.http.CloseIdleConnections()
}

// ask takes one req through its tries.
func (c *Client) ask(at time.Duration, k Class, req uint64, work time.Duration) {
	deadline := at + k.ClientTimeout
	cell := Cell{k.Name, c.Gateway.Zone}
	for try := range c.Retries + 1 {
		left := deadline - c.world.Now()
		if left <= 0 {
			break
		}
		done, denied := c.try(k, req, try, work, min(left, time.Duration(c.AttemptTimeoutShare*float64(k.ClientTimeout))))
		if done {
			c.tally.add(cell, at, k, true, c.world.Now()-at)
			return
		}
		if !denied && !k.Idempotent {
			break
		}
		time.Sleep(c.Backoff)
	}
	c.tally.add(cell, at, k, false, 0)
}

func (c *Client) try(k Class, req uint64, try int, work, within time.Duration) (done, denied bool) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Gateway.Addr+"/", nil)
	if err != nil {
		return false, true
	}
	r.Header.Set(xds.KindHeader, k.Name)
	r.Header.Set(headerReq, strconv.FormatUint(req, 10))
	r.Header.Set(headerTry, strconv.Itoa(try))
	r.Header.Set(headerWork, strconv.FormatInt(work.Microseconds(), 10))
	res, err := c.http.Do(r)
	if err != nil {
		return false, false
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return err == nil && res.StatusCode == http.StatusOK, res.Header.Get(headerDenied) != ""
}
