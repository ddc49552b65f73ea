package expectation

import (
	"fmt"
	"math/rand/v2"

	"porthub/coordinator"
)

// Case is a fleet that was drawn for an expectation, with the events.
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

// seedStep is the distance between the seeds of consecutive cases: 2^64 divided by the golden ratio.
const seedStep = 0x9e3779b97f4a7c15

// The PCG streams of a case's seed, one for each use of random numbers.
const (
	drawStream       = 1
	simulationStream = 2
)

// Draw returns the case with the given number. The same number and seed always give the same case.
func (e Expectation) Draw(number int) Case {
	seed := e.Seed + uint64(number)*seedStep
	rng := rand.New(rand.NewPCG(seed, drawStream))
	c := Case{Number: number, Seed: seed, Events: e.Events}
	c.Endpoints = e.Fleet.Endpoints.drawInteger(rng)
	c.Gateways = e.Fleet.Gateways.drawInteger(rng)
	c.Load = e.Fleet.Load.From + rng.Float64()*(e.Fleet.Load.To-e.Fleet.Load.From)
	return c
}

// drawInteger returns a random integer of the range.
func (r Range) drawInteger(rng *rand.Rand) int {
	return int(r.From) + rng.IntN(int(r.To)-int(r.From)+1)
}

// Shrink searches for a smaller case that fails the same assertion. It reduces the endpoints, the gateways and the events
// step by step as long as the assertion fails, with at most maxRuns runs. It returns the failure of the smallest case that it
// found, described in SmallestCase.
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

// firstFailing returns the first of the cases that fails the assertion at the given line, and its failure. It returns false
// if there is none or maxRuns is reached.
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

// smaller returns the next smaller cases: those with a half or a quarter fewer endpoints or gateways, or one event fewer.
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
