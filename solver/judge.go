package solver

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"porthub/policyapi"
)

// ClassHealth tells which node fails which request kind while it serves others. It is given what was met at each node by
// kind, once a round, and keeps little: two counts for each pair, halved each round.
//
// A pair is held against what its peers make of the same kind (the lower quartile of the nodes' error parts, so that
// it stays low while up to three quarters of the nodes fail) and what the node makes of other kinds (a node that fails
// everything is the decision module's to judge). It fails once what was met is a thousand times likelier from a node
// that fails than from one that does as its peers do. Where the kind is down everywhere the peers are down as well,
// and nobody is judged.
type ClassHealth struct {
	kinds int
	pairs map[pair]*record
	blind []bool // by kind: marks are passed over
}

type pair struct {
	node policyapi.EndpointID
	kind int
}

type record struct {
	tries, errored float64
	state          state
	since, retryAt policyapi.Microseconds
	backoff        policyapi.Microseconds
	trialTries     float64
	trialErrored   float64
}

type state int

const (
	well    state = iota
	failing       // no weight for the kind
	trial         // a tenth of its weight, until it has shown itself
)

// ClassStatus is how a pair stands.
type ClassStatus int

// The verdicts.
const (
	ClassHealthy ClassStatus = iota
	ClassOnTrial
	ClassFailing
)

const (
	odds        = 7 // log of a thousand
	leastErrors = 4 // by fewer nobody is judged
	leastBase   = 0.03
	firstRetry  = policyapi.Microseconds(4_000_000)
	lastRetry   = policyapi.Microseconds(32_000_000)
	trialTries  = 5   // that a trial takes
	trialWell   = 0.3 // part of them that may err
	wellLeast   = 0.2 // with a smaller part of the nodes well for a kind, marks are passed over
)

// NewClassHealth starts a judge of so many kinds.
func NewClassHealth(kinds int) *ClassHealth {
	return &ClassHealth{kinds: kinds, pairs: map[pair]*record{}, blind: make([]bool, kinds)}
}

// EndRound closes a round: heard is what was met since the last one, ready who is listed as ready. It returns a line for
// each change, with the figures that caused it.
func (j *ClassHealth) EndRound(now policyapi.Microseconds, heard []policyapi.EndpointClassLoad, ready []policyapi.EndpointID) (lines []string) {
	for _, r := range j.pairs {
		r.tries, r.errored = r.tries/2, r.errored/2
	}
	for _, h := range heard {
		if h.Attempts <= 0 || int(h.Class) < 0 || int(h.Class) >= j.kinds {
			continue
		}
		r := j.pairs[pair{h.Endpoint, int(h.Class)}]
		if r == nil {
			r = &record{}
			j.pairs[pair{h.Endpoint, int(h.Class)}] = r
		}
		r.tries, r.errored = r.tries+float64(h.Attempts), r.errored+float64(h.Failures)
		if r.state == trial {
			r.trialTries, r.trialErrored = r.trialTries+float64(h.Attempts), r.trialErrored+float64(h.Failures)
		}
	}
	listed := map[policyapi.EndpointID]bool{}
	for _, b := range ready {
		listed[b] = true
	}
	for p := range j.pairs {
		if !listed[p.node] {
			delete(j.pairs, p) // what comes back under its name is judged anew
		}
	}
	for k := range j.kinds {
		base := j.peers(k, ready)
		for _, b := range ready {
			r := j.pairs[pair{b, k}]
			if r == nil {
				continue
			}
			if line := j.judge(now, b, k, r, base); line != "" {
				lines = append(lines, line)
			}
		}
		if line := j.look(k, ready); line != "" {
			lines = append(lines, line)
		}
	}
	return lines
}

// peers is the error part that a kind has at the nodes that do best by it.
func (j *ClassHealth) peers(k int, ready []policyapi.EndpointID) float64 {
	var parts []float64
	for _, b := range ready {
		if r := j.pairs[pair{b, k}]; r != nil && r.tries >= 2 {
			parts = append(parts, r.errored/r.tries)
		}
	}
	if len(parts) < 2 {
		return 1 // no peers: nobody to hold it against
	}
	slices.Sort(parts)
	return parts[(len(parts)-1)/4]
}

// others is the error part that a node has by all other kinds, with a little doubt where few were met.
func (j *ClassHealth) others(b policyapi.EndpointID, k int) float64 {
	tries, errored := 0.0, 0.0
	for o := range j.kinds {
		if r := j.pairs[pair{b, o}]; r != nil && o != k {
			tries, errored = tries+r.tries, errored+r.errored
		}
	}
	if j.kinds == 1 || tries == 0 {
		return 1 // it is not known to serve anything
	}
	return errored / tries
}

func (j *ClassHealth) judge(now policyapi.Microseconds, b policyapi.EndpointID, k int, r *record, peers float64) string {
	switch r.state {
	case failing:
		if now >= r.retryAt {
			r.state, r.trialTries, r.trialErrored, r.tries, r.errored = trial, 0, 0, 0, 0
			r.since = now
		}
	case trial:
		if r.trialTries < trialTries && r.trialErrored < leastErrors {
			return ""
		}
		if r.trialErrored > max(trialWell, peers)*r.trialTries {
			j.fail(now, r)
			return ""
		}
		r.state, r.since = well, now
		return fmt.Sprintf("%s serves kind %d again: %.0f of %.0f tries erred", b, k, r.trialErrored, r.trialTries)
	default:
		if r.tries < 1 {
			if now-r.since > lastRetry {
				r.backoff = 0
			}
			return ""
		}
		base := max(leastBase, peers, j.others(b, k))
		if part := r.errored / r.tries; r.errored >= leastErrors && base < 0.5 && part > base && likelier(r.errored, r.tries, base) > odds {
			tries, errored := r.tries, r.errored
			j.fail(now, r)
			return fmt.Sprintf("%s fails kind %d: %.0f of %.0f tries erred, of its peers' %.2f", b, k, errored, tries, peers)
		}
		if now-r.since > lastRetry {
			r.backoff = 0
		}
	}
	return ""
}

// likelier is the log of how much likelier so many errors are at the part met than at the base.
func likelier(errored, tries, base float64) float64 {
	q := min(0.99, errored/tries)
	return errored*math.Log(q/base) + (tries-errored)*math.Log((1-q)/(1-base))
}

func (j *ClassHealth) fail(now policyapi.Microseconds, r *record) {
	r.backoff = min(lastRetry, max(firstRetry, 2*r.backoff))
	r.state, r.since, r.retryAt = failing, now, now+r.backoff
}

// look passes marks over where too few nodes are left for a kind: the fault is likelier one that all share.
func (j *ClassHealth) look(k int, ready []policyapi.EndpointID) string {
	left := 0
	for _, b := range ready {
		if r := j.pairs[pair{b, k}]; r == nil || r.state != failing {
			left++
		}
	}
	if blind := float64(left) < wellLeast*float64(len(ready)); blind != j.blind[k] {
		j.blind[k] = blind
		return fmt.Sprintf("marks against kind %d passed over: %t, %d of %d nodes well", k, blind, left, len(ready))
	}
	return ""
}

// Forget drops all that is held against a node: another process under its name is judged anew.
func (j *ClassHealth) Forget(b policyapi.EndpointID) {
	for k := range j.kinds {
		delete(j.pairs, pair{b, k})
	}
}

// ClassStatus tells how a node stands with a kind.
func (j *ClassHealth) Status(b policyapi.EndpointID, k int) ClassStatus {
	r := j.pairs[pair{b, k}]
	switch {
	case r == nil || r.state == well || j.blind[k]:
		return ClassHealthy
	case r.state == trial:
		return ClassOnTrial
	default:
		return ClassFailing
	}
}

// Ejection is held against a node for a kind.
type Ejection struct {
	Endpoint policyapi.EndpointID   `json:"node"`
	Class    int                    `json:"kind"`
	Backoff  policyapi.Microseconds `json:"backoff_us"`
}

// Ejections lists what is held against nodes, on trial ones too, in the order of their names.
func (j *ClassHealth) Ejections() (marks []Ejection) {
	for p, r := range j.pairs {
		if r.state != well {
			marks = append(marks, Ejection{p.node, p.kind, r.backoff})
		}
	}
	slices.SortFunc(marks, func(a, b Ejection) int { return cmp.Or(cmp.Compare(a.Endpoint, b.Endpoint), a.Class-b.Class) })
	return marks
}

// Restore puts nodes that had marks before on trial: by a tenth of their weight a few reqs soon tell. The backoff counts on
// if one fails again.
func (j *ClassHealth) Restore(now policyapi.Microseconds, marks []Ejection) {
	for _, m := range marks {
		if m.Class >= 0 && m.Class < j.kinds {
			j.pairs[pair{m.Endpoint, m.Class}] = &record{state: trial, since: now, backoff: min(max(m.Backoff, firstRetry), lastRetry)}
		}
	}
}
