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

	"porthub/xds"
)

// Class describes the requests of a class that clients send.
type Class struct {
	Name             string
	Share            float64       // fraction of all requests
	Work             time.Duration // mean core time of a request
	LatencyObjective time.Duration
	ClientTimeout    time.Duration
	PriorityWeight   float64
	LateShare        float64 // fraction of the priority weight that a response after the objective earns
	Idempotent       bool
}

// ClientOptions configure a client process and its gateway.
type ClientOptions struct {
	Name                string
	Classes             []Class
	Gateway             *Gateway
	RequestRate         float64 // usual requests per second
	Retries             int
	AttemptTimeoutShare float64 // timeout of an attempt as a fraction of the client timeout
	Backoff             time.Duration
	// TrafficFactor returns the traffic at a time as a multiple of the usual rate. It must never exceed MaxTrafficFactor
	// or 1, whichever is larger.
	TrafficFactor    func(at time.Duration) float64
	MaxTrafficFactor float64
	// WorkFactor returns the work of a request as a multiple of the usual work, given a random number from 0 to 1.
	WorkFactor func(at time.Duration, class string, draw float64) float64
}

// Client sends requests at random times without waiting for the responses to earlier ones.
type Client struct {
	ClientOptions
	world    *World
	tally    *Tally
	http     *http.Client
	requests *atomic.Uint64 // counter for request numbers, shared by all clients of a fleet
	rng      *rand.Rand
}

// NewClient returns a client. All clients of a fleet share the counter requests, from which they number their requests.
func NewClient(w *World, o ClientOptions, tally *Tally, requests *atomic.Uint64) *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 256,
		DisableCompression:  true,
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
	}
	return &Client{ClientOptions: o, world: w, tally: tally, http: &http.Client{Transport: transport}, requests: requests, rng: w.Rand("client " + o.Name)}
}

// Run sends requests until the given time and waits for their responses.
func (c *Client) Run(until time.Duration) {
	var inFlight sync.WaitGroup
	at := c.world.Now()
	maxFactor := max(1, c.MaxTrafficFactor)
	for {
		// Arrivals are drawn at the highest rate and thinned out to the current rate, so that the sequence of random
		// numbers is the same in each run.
		at += time.Duration(c.rng.ExpFloat64() / (c.RequestRate * maxFactor) * float64(time.Second))
		draws := c.draw()
		if at >= until {
			break
		}
		if draws.thinning*maxFactor >= c.TrafficFactor(at) {
			continue
		}
		if wait := at - c.world.Now(); wait > 0 {
			time.Sleep(wait)
		}
		class := c.classFor(draws.class)
		work := c.workFor(class, at, draws)
		arrival := at
		inFlight.Go(func() { c.send(arrival, class, c.requests.Add(1), work) })
	}
	inFlight.Wait()
	c.http.CloseIdleConnections()
}

// requestDraws holds the random numbers for one arrival.
type requestDraws struct {
	thinning float64 // decides whether the arrival is kept
	class    float64
	work     float64 // normally distributed
	factor   float64 // passed to WorkFactor
}

func (c *Client) draw() requestDraws {
	var d requestDraws
	d.thinning = c.rng.Float64()
	d.class = c.rng.Float64()
	d.work = c.rng.NormFloat64()
	d.factor = c.rng.Float64()
	return d
}

// classFor selects a class by the shares. The last class gets the remainder if the shares sum up to less than 1.
func (c *Client) classFor(draw float64) Class {
	for _, class := range c.Classes {
		draw -= class.Share
		if draw < 0 {
			return class
		}
	}
	return c.Classes[len(c.Classes)-1]
}

// workFor returns the work of a request. It follows a log-normal distribution with the mean of the class, times the work
// factor.
func (c *Client) workFor(class Class, at time.Duration, d requestDraws) time.Duration {
	const sigma = 0.4
	return time.Duration(float64(class.Work) * math.Exp(sigma*d.work-sigma*sigma/2) * c.WorkFactor(at, class.Name, d.factor))
}

// send sends a request and records its outcome. A failed attempt is retried if it was rejected before execution or if the
// class is idempotent.
func (c *Client) send(at time.Duration, class Class, number uint64, work time.Duration) {
	deadline := at + class.ClientTimeout
	key := ClassZone{Class: class.Name, Zone: c.Gateway.Zone}
	for attempt := range c.Retries + 1 {
		left := deadline - c.world.Now()
		if left <= 0 {
			break
		}
		timeout := min(left, time.Duration(c.AttemptTimeoutShare*float64(class.ClientTimeout)))
		request := workRequest{class: class.Name, number: number, clientAttempt: attempt, work: work}
		answered, rejected := c.attempt(request, timeout)
		if answered {
			c.tally.record(key, at, class, true, c.world.Now()-at)
			return
		}
		if !rejected && !class.Idempotent {
			break
		}
		time.Sleep(c.Backoff)
	}
	c.tally.record(key, at, class, false, 0)
}

// attempt sends a request once. The result rejected means that the request was certainly not executed.
func (c *Client) attempt(request workRequest, timeout time.Duration) (answered, rejected bool) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Gateway.Addr+"/", nil)
	if err != nil {
		return false, true
	}
	r.Header.Set(xds.ClassHeader, request.class)
	r.Header.Set(headerRequest, strconv.FormatUint(request.number, 10))
	r.Header.Set(headerAttempt, strconv.Itoa(request.clientAttempt))
	r.Header.Set(headerWork, strconv.FormatInt(request.work.Microseconds(), 10))
	response, err := c.http.Do(r)
	if err != nil {
		return false, false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK, response.Header.Get(headerRejected) != ""
}
