package audit

import (
	"strconv"
	"time"
)

// The names of the rules, as they appear on command lines and in output.
const (
	EmptyTable      = "bare"   // no connected gateway stays without an endpoint for a class
	DuplicateEffect = "repeat" // no retry by a gateway executes a non-idempotent request again
	Drain           = "drain"  // no request is sent to a draining endpoint after the grace period
	WarmUp          = "cold"   // no warming endpoint is overloaded
	Queue           = "queue"  // the messages and lines sent to gateways stay within their limits
)

// Rules lists the names of all rules.
var Rules = []string{EmptyTable, DuplicateEffect, Drain, WarmUp, Queue}

// Limits are the parameters of the rules.
type Limits struct {
	EmptyTableLimit       time.Duration // longest time that a gateway may have no endpoint for a class
	DrainGracePeriod      time.Duration // how long gateways may still send requests to a draining endpoint
	DrainAppliesToRemoved bool          // an endpoint that leaves the list counts as draining
	WarmUp                time.Duration // duration of an endpoint's warm-up
	InitialCapacity       float64       // capacity at the start of the warm-up, as a fraction of the full capacity
	OverloadFactor        float64       // permitted work at a warming endpoint, as a multiple of its capacity
	OverloadWindow        time.Duration // window over which that work is measured
	QueueLimit            float64       // maximum number of lines in flight to all gateways
	MessageOverhead       float64       // lines that each message counts in addition to its own
	MessageLimit          int           // maximum number of messages to one gateway within MessageWindow; 0: no limit
	MessageWindow         time.Duration
	Classes               []Class
	// WithoutCoordinator is set for baselines, whose tables do not come from a coordinator. Their tables then inform a
	// gateway of an endpoint's start in the same way as those of a coordinator.
	WithoutCoordinator bool
}

// Class is a request class.
type Class struct {
	Name       string
	Idempotent bool     // a request may be executed more than once
	Zones      []string // zones that can serve the class; empty: all
}

// Verdict is the result of the evaluation of a rule.
type Verdict struct {
	Satisfied bool `json:"kept"`
	// PeakUsage is the fraction of the limit that was used at the worst moment. If DuplicateEffect is violated, it is the
	// number of executions of the request.
	PeakUsage float64 `json:"nearest"`
	Detail    string  `json:"where,omitempty"` // description of the worst moment
}

// Evaluate evaluates the rules for a run that ended at the given time and returns the verdicts by rule name.
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

// peak is the moment with the highest usage found so far.
type peak struct {
	usage  float64
	detail string
}

// raise records a moment if its usage is higher than any before. It calls detail only in that case.
func (p *peak) raise(usage float64, detail func() string) {
	if usage > p.usage {
		p.usage = usage
		p.detail = detail()
	}
}

func (p *peak) verdict() Verdict {
	return Verdict{Satisfied: p.usage <= 1, PeakUsage: p.usage, Detail: p.detail}
}

// formatDuration formats a duration, rounded to milliseconds.
func formatDuration(d time.Duration) string { return d.Round(time.Millisecond).String() }

// evaluateDuplicateEffects checks that no request of a class that is not idempotent was executed more than once within one
// attempt of the client.
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
		return Verdict{
			PeakUsage: float64(count),
			Detail: "a request of class " + execution.class + " was executed " + strconv.Itoa(count) +
				" times within one attempt of the client",
		}
	}
	return Verdict{Satisfied: true}
}
