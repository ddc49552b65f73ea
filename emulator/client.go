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

// Kind is a request kind as clients know it.
type Kind struct {
	Name           string
	Share          float64 // of all reqs
	Work           time.Duration
	ResponseTarget time.Duration
	ClientTimeout  time.Duration
	Payoff         float64
	LatePayoff     float64 // part of it for an answer after the target
	Replayable     bool
}

// ClientOptions are a client process's: it has a gateway of its own.
type ClientOptions struct {
	Name     string
	Kinds    []Kind
	Gateway  *Gateway
	Rate     float64 // usual reqs a second
	Retries  int
	TryShare float64 // a try is given up after this part of the client timeout
	Backoff  time.Duration
	// Factor is how many times the usual traffic comes at a time, and Most the most it ever is.
	Factor func(at time.Duration) float64
	Most   float64
	// Dear is how many times the usual work a req of a kind costs.
	Dear func(at time.Duration, kind string, lot float64) float64
}

// Tally sums how the reqs of a run fared. It is safe for many goroutines.
type Tally struct {
	mu      sync.Mutex
	cells   map[Cell]*Sum
	answers *hdrhistogram.Histogram
	windows []Sum // of a second each
}

// Cell is a request kind in a zone.
type Cell struct{ Kind, Zone string }

// Sum is what was asked and got.
type Sum struct {
	Reqs, Done, Late int
	Asked, Got       float64 // payoff
}

// NewTally starts a tally.
func NewTally() *Tally {
	return &Tally{cells: map[Cell]*Sum{}, answers: hdrhistogram.New(1, 60_000_000, 3)}
}

func (t *Tally) add(c Cell, at time.Duration, k Kind, done bool, took time.Duration) {
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
		s.Reqs, s.Asked = s.Reqs+1, s.Asked+k.Payoff
		switch {
		case done && took <= k.ResponseTarget:
			s.Done, s.Got = s.Done+1, s.Got+k.Payoff
		case done:
			s.Late, s.Got = s.Late+1, s.Got+k.Payoff*k.LatePayoff
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
		all = all.Plus(*s)
	}
	return out, all
}

// Worst is the worst stretch of so many seconds.
func (t *Tally) Worst(seconds int) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	worst := 1.0
	for i := 0; i+seconds <= len(t.windows); i++ {
		var s Sum
		for _, w := range t.windows[i : i+seconds] {
			s = s.Plus(w)
		}
		worst = min(worst, s.Service())
	}
	return worst
}

// Between is the service of the reqs that came in whole seconds between two times.
func (t *Tally) Between(from, to time.Duration) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var s Sum
	for i := int(from / time.Second); i < min(len(t.windows), int(to/time.Second)); i++ {
		s = s.Plus(t.windows[i])
	}
	return s.Service()
}

// Windows is the service of each stretch of so many seconds.
func (t *Tally) Windows(seconds int) (out []float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := 0; i < len(t.windows); i += seconds {
		var s Sum
		for _, w := range t.windows[i:min(len(t.windows), i+seconds)] {
			s = s.Plus(w)
		}
		out = append(out, s.Service())
	}
	return out
}

// Took adds an answer's time alone.
func (t *Tally) Took(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.answers.RecordValue(max(1, d.Microseconds()))
}

// Answers are the times of what was answered, in microseconds, retries included.
func (t *Tally) Answers() *hdrhistogram.Histogram {
	t.mu.Lock()
	defer t.mu.Unlock()
	return hdrhistogram.Import(t.answers.Export())
}

func (s Sum) Plus(o Sum) Sum {
	return Sum{s.Reqs + o.Reqs, s.Done + o.Done, s.Late + o.Late, s.Asked + o.Asked, s.Got + o.Got}
}

// Service is the payoff got over the payoff asked for.
func (s Sum) Service() float64 {
	if s.Asked == 0 {
		return 1
	}
	return s.Got / s.Asked
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
	most := max(1, c.Most)
	for {
		// Arrivals at the highest rate, of which the part is kept that the present rate is: the same draws in each run.
		at += time.Duration(c.rng.ExpFloat64() / (c.Rate * most) * float64(time.Second))
		keep, kindLot, workLot, dearLot := c.rng.Float64(), c.rng.Float64(), c.rng.NormFloat64(), c.rng.Float64()
		if at >= until {
			break
		}
		if keep*most >= c.Factor(at) {
			continue
		}
		if wait := at - c.world.Now(); wait > 0 {
			time.Sleep(wait)
		}
		kind := c.Kinds[len(c.Kinds)-1]
		for _, k := range c.Kinds {
			if kindLot -= k.Share; kindLot < 0 {
				kind = k
				break
			}
		}
		const spread = 0.4
		work := time.Duration(float64(kind.Work) * math.Exp(spread*workLot-spread*spread/2) * c.Dear(at, kind.Name, dearLot))
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
func (c *Client) ask(at time.Duration, k Kind, req uint64, work time.Duration) {
	deadline := at + k.ClientTimeout
	cell := Cell{k.Name, c.Gateway.Zone}
	for try := range c.Retries + 1 {
		left := deadline - c.world.Now()
		if left <= 0 {
			break
		}
		done, denied := c.try(k, req, try, work, min(left, time.Duration(c.TryShare*float64(k.ClientTimeout))))
		if done {
			c.tally.add(cell, at, k, true, c.world.Now()-at)
			return
		}
		if !denied && !k.Replayable {
			break
		}
		time.Sleep(c.Backoff)
	}
	c.tally.add(cell, at, k, false, 0)
}

func (c *Client) try(k Kind, req uint64, try int, work, within time.Duration) (done, denied bool) {
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
