package expectation

import (
	"fmt"
	"math/rand/v2"

	"porthub/coordinator"
)

// Case is one drawn fleet with its events.
type Case struct {
	Number    int
	Seed      uint64
	Endpoints int
	Gateways  int
	Load      float64
	Events    []Event
}

func (c Case) String() string {
	return fmt.Sprintf("%d endpoints, %d gateways, load %.2f and %d events", c.Endpoints, c.Gateways, c.Load, len(c.Events))
}

// seedStep separates the seeds of cases: 2^64 over the golden ratio.
const seedStep = 0x9e3779b97f4a7c15

// Each use of randomness in a case has a PCG stream of its own.
const (
	drawStream       = 1
	simulationStream = 2
)

// Draw draws a case. The same number and seed give the same case.
func (e Expectation) Draw(number int) Case {
	seed := e.Seed + uint64(number)*seedStep
	rng := rand.New(rand.NewPCG(seed, drawStream))
	c := Case{Number: number, Seed: seed, Events: e.Events}
	c.Endpoints = e.Fleet.Endpoints.drawInteger(rng)
	c.Gateways = e.Fleet.Gateways.drawInteger(rng)
	c.Load = e.Fleet.Load.From + rng.Float64()*(e.Fleet.Load.To-e.Fleet.Load.From)
	return c
}

func (r Range) drawInteger(rng *rand.Rand) int {
	return int(r.From) + rng.IntN(int(r.To)-int(r.From)+1)
}

// Shrink searches for a smaller case that fails the same assertion: fewer endpoints, fewer gateways, one event less, as
// long as it fails. It makes maxRuns runs at most, and returns the failure of the smallest case, which it names in Small.
func (e Expectation) Shrink(settings coordinator.Settings, c Case, f Failure, maxRuns int) Failure {
	original := c
	runs := 0
	for {
		smaller, failure, ok := e.firstFailing(settings, c.smaller(len(settings.Start.Zones)), f.Line, &runs, maxRuns)
		if !ok {
			break
		}
		failure.Case = f.Case
		failure.Seed = f.Seed
		f = failure
		c = smaller
	}
	if c.Endpoints != original.Endpoints || c.Gateways != original.Gateways || len(c.Events) != len(original.Events) {
		f.SmallestCase = c.String()
	}
	return f
}

// firstFailing returns the first case that fails the assertion at a line. It reports false if there is none, or the runs
// are used up.
func (e Expectation) firstFailing(settings coordinator.Settings, cases []Case, line int, runs *int, maxRuns int) (Case, Failure, bool) {
	for _, c := range cases {
		if *runs >= maxRuns {
			break
		}
		*runs++
		for _, failure := range e.Run(settings, c) {
			if failure.Line == line {
				return c, failure, true
			}
		}
	}
	return Case{}, Failure{}, false
}

// smaller returns the next smaller cases: half or a quarter less of endpoints or gateways, or one event less.
func (c Case) smaller(minEndpoints int) (cases []Case) {
	for _, divisor := range []int{2, 4} {
		if n := c.Endpoints - c.Endpoints/divisor; n < c.Endpoints && n >= minEndpoints {
			fewer := c
			fewer.Endpoints = n
			cases = append(cases, fewer)
		}
		if n := c.Gateways - c.Gateways/divisor; n < c.Gateways && n >= 1 {
			fewer := c
			fewer.Gateways = n
			cases = append(cases, fewer)
		}
	}
	for i := range c.Events {
		fewer := c
		fewer.Events = append(append([]Event(nil), c.Events[:i]...), c.Events[i+1:]...)
		cases = append(cases, fewer)
	}
	return cases
}
