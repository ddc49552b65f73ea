package audit

import (
	"strconv"
	"time"
)

// The names of the rules. They are part of command lines and output.
const (
	EmptyTable      = "bare"   // no connected gateway stays without an endpoint for a class
	DuplicateEffect = "repeat" // no attempt of a gateway repeats an effect that must not be repeated
	Drain           = "drain"  // nothing is sent to a draining endpoint after the grace period
	WarmUp          = "cold"   // no endpoint that warms up is overloaded
	Queue           = "queue"  // the messages to gateways stay within their limits
)

// Rules lists the names of the rules in order.
var Rules = []string{EmptyTable, DuplicateEffect, Drain, WarmUp, Queue}

// Limits are the figures of the rules, and the request classes.
type Limits struct {
	EmptyTableLimit       time.Duration // how long a gateway may have no endpoint for a class
	DrainGracePeriod      time.Duration // how long a draining endpoint may still be sent requests
	DrainAppliesToRemoved bool          // an endpoint that leaves the list counts as draining
	WarmUp                time.Duration // how long an endpoint warms up
	InitialCapacity       float64       // capacity at the beginning of the warm-up, as a part of the full one
	OverloadFactor        float64       // work that may come to an endpoint that warms up, as a multiple of its capacity
	OverloadWindow        time.Duration // over which that is measured
	QueueLimit            float64       // lines in flight to all gateways
	MessageOverhead       float64       // lines that a message counts for in addition to its own
	MessageLimit          int           // messages to one gateway in a window; 0: no limit
	MessageWindow         time.Duration
	Classes               []Class
	// WithoutCoordinator is set for baselines: gateways have their tables from elsewhere, and count as informed by them.
	WithoutCoordinator bool
}

// Class is a request class.
type Class struct {
	Name       string
	Idempotent bool     // its requests may be executed again
	Zones      []string // where it can be served; empty: everywhere
}

// Verdict is whether a rule was satisfied, and how nearly it was not.
type Verdict struct {
	Satisfied bool `json:"kept"`
	// PeakUsage is the part of the limit that was used at the worst moment.
	PeakUsage float64 `json:"nearest"`
	Detail    string  `json:"where,omitempty"` // of the worst moment
}

// Evaluate returns the verdict on each rule, by name, from what was observed up to the given time.
func (l *Log) Evaluate(end time.Duration) map[string]Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	return map[string]Verdict{
		EmptyTable:      l.evaluateEmptyTables(end),
		DuplicateEffect: l.evaluateDuplicateEffects(),
		Drain:           l.evaluateDrains(end),
		WarmUp:          l.evaluateWarmUps(end),
		Queue:           l.evaluateQueue(),
	}
}

// peak is the worst moment found so far.
type peak struct {
	usage  float64
	detail string
}

// raise records a moment if it is worse than those before. Only then detail is called.
func (p *peak) raise(usage float64, detail func() string) {
	if usage > p.usage {
		p.usage = usage
		p.detail = detail()
	}
}

func (p *peak) verdict() Verdict {
	return Verdict{Satisfied: p.usage <= 1, PeakUsage: p.usage, Detail: p.detail}
}

// milliseconds shows a time to the millisecond.
func milliseconds(d time.Duration) string { return d.Round(time.Millisecond).String() }

// evaluateDuplicateEffects checks that no request is executed twice by a gateway's own retry unless it is idempotent.
func (l *Log) evaluateDuplicateEffects() Verdict {
	idempotent := map[string]bool{}
	for _, class := range l.limits.Classes {
		idempotent[class.Name] = class.Idempotent
	}
	for _, execution := range l.repeated {
		safe, known := idempotent[execution.class]
		if !known || safe {
			continue
		}
		count := l.executions[execution]
		return Verdict{PeakUsage: float64(count), Detail: "a " + execution.class + " was executed " + strconv.Itoa(count) + " times in one attempt of the client"}
	}
	return Verdict{Satisfied: true}
}
