// Package loadreport decides how much of what gateways report is taken when more comes than can be, so that what is left is
// unbiased and its error is known. It is pure: time is handed in, chance comes from hashes.
//
// A report has two parts. What came to the gateway (three figures or so) is always taken. What it met at nodes, one line for
// each node and kind, is most of the work. Lines that bear news (errors) are taken for certain; calm ones are sampled: a
// gateway's calm lines are taken in one report of 1/p, by a rotation that each gateway enters at a place of its own. So each
// is heard at least with every 1/p reports, none is forgotten, and a line that is taken stands for 1/p lines.
//
// Reports that are late, lost or asked for less often are missing from a round. What is known of a node is therefore the mean
// over the reports that came, times the gateways that report; how many of them were not heard goes into the error.
package loadreport

import (
	"hash/crc32"
	"math"
	"slices"

	"porthub/policyapi"
)

// Settings bound an intake.
type Settings struct {
	MaxLines float64                // that may be taken in a second; 0: no bound
	Period   policyapi.Microseconds // of reports
	Seed     uint64
}

// EndpointLine is what a gateway met at a node for a kind.
type EndpointLine struct {
	Endpoint policyapi.EndpointID
	Attempts int
	Failures int
}

// SamplingDecision is what becomes of a report's lines.
type SamplingDecision struct {
	// Calm: lines without news are taken, and each stands for Weight of its sort.
	IncludeRoutine bool
	Weight         float64
	// SampledFraction is what of the report's counts is believed: below 1 for a gateway that suddenly claims many times its traffic.
	TrustedFraction float64

	seconds float64 // that the report is of
}

// Stats counts, since the start.
type Stats struct {
	Reports           int64   `json:"reports"`
	Lines             int64   `json:"lines"`   // offered
	Taken             int64   `json:"taken"`   // of them
	HealthSignals     int64   `json:"news"`    // taken for their news
	Capped            int64   `json:"capped"`  // reports that claimed too much
	SampledFraction   float64 `json:"part"`    // of calm lines that is taken now
	Rounds            int64   `json:"rounds"`  // closed
	Sampled           int64   `json:"sampled"` // rounds in which not all were
	Reporting         int     `json:"live"`    // gateways that report
	Silent            int     `json:"stopped"` // gateways that stand, and have not reported for five periods
	ReportsPerGateway float64 `json:"heard"`   // reports of the last round for each of the live ones
}

// Sampler keeps what the rules need of each gateway and node. Its memory is bounded by the gateways and nodes that it is
// told of.
type Sampler struct {
	set      Settings
	part     float64 // p
	round    uint64
	began    policyapi.Microseconds
	offered  float64 // lines in this round
	news     float64
	gateways map[string]*gateway
	nodes    map[policyapi.EndpointID]*node
	stats    Stats
	usual    float64 // reqs a second of a gateway, the fleet's mean
	reports  int     // in this round
	twice    float64 // sum of the squares of how many each gateway sent in it
	covered  float64 // seconds that they are of, the sum
	heard    int     // of them believed whole
	reqs     float64
	stretch  int
}

type gateway struct {
	phase  float64
	usage  float64 // reqs a second, half way to the new with each report
	known  int     // reports
	at     policyapi.Microseconds
	sudden int // reports in a row that claimed too much
	round  uint64
	times  float64 // reports in that round
	live   bool
	quiet  bool // it has stopped reporting, and staff were told
}

// node sums one round.
type node struct {
	tries, errored float64 // a second, of the reports that came
	squares        float64 // of tries
	variance       float64 // of tries, by the sampling and by chance
	lines          int
	util, queue    own
	last           Estimate
}

// own sums one of a node's own figures as reports carry it.
type own struct {
	n, sum, squares float64
}

func (o *own) add(v float64) { o.n, o.sum, o.squares = o.n+1, o.sum+v, o.squares+v*v }

// mean is the figure, and the error that the mean of so many has.
func (o own) mean() (mean, err float64) {
	if o.n == 0 {
		return 0, 0
	}
	mean = o.sum / o.n
	return mean, twoSigma * math.Sqrt(max(0, o.squares/o.n-mean*mean)/o.n)
}

// Estimate are what is known of a node from one round, each with the error that it has in 19 of 20 cases.
type Estimate struct {
	Attempts         float64                `json:"tries_per_s"`
	AttemptsError    float64                `json:"tries_error"`
	Failures         float64                `json:"errored_per_s"`
	Utilization      float64                `json:"util"`
	UtilizationError float64                `json:"util_error"`
	Queue            float64                `json:"queue"`
	QueueError       float64                `json:"queue_error"`
	Lines            int                    `json:"lines"` // taken
	At               policyapi.Microseconds `json:"at_us"`
}

// What the rules go by.
const (
	leastPart = 1.0 / 32 // of calm lines; a gateway is heard every 32nd round at worst
	slack     = 0.9      // of the bound that is planned for
	newsPart  = 0.2      // of a line's tries that err make it news
	sudden    = 20.0     // times its usual traffic, and the fleet's mean, is more than is believed at once
	believed  = 3        // reports in a row that say so are
	twoSigma  = 2.0
	stops     = 5 // periods without a report: it has stopped; with fewer a fleet that loses a third of its reports looks smaller
)

// New starts an intake that takes everything.
func New(set Settings) *Sampler {
	return &Sampler{set: set, part: 1, gateways: map[string]*gateway{}, nodes: map[policyapi.EndpointID]*node{}, stats: Stats{SampledFraction: 1}, stretch: 1, round: 1}
}

func (in *Sampler) gateway(name string) *gateway {
	g := in.gateways[name]
	if g == nil {
		var seed [8]byte
		for i := range seed {
			seed[i] = byte(in.set.Seed >> (8 * i))
		}
		// A hash spreads gateways over the rotation; names that count up must not be heard one after the other.
		sum := crc32.Update(crc32.ChecksumIEEE(seed[:]), crc32.IEEETable, []byte(name))
		g = &gateway{phase: float64(scramble(sum)) / (1 << 32)}
		in.gateways[name] = g
	}
	return g
}

// scramble spreads sums that differ little.
func scramble(x uint32) uint32 {
	x ^= x >> 16
	x *= 0x7feb352d
	x ^= x >> 15
	x *= 0x846ca68b
	return x ^ x>>16
}

// Decide decides on a report: how many lines it has, what came to the gateway in the interval.
func (in *Sampler) Decide(now policyapi.Microseconds, name string, lines, arrived int, interval policyapi.Microseconds) SamplingDecision {
	if in.began == 0 {
		in.began = now
	}
	g := in.gateway(name)
	g.live, g.quiet = true, false
	if g.round != in.round {
		g.round, g.times = in.round, 0
	}
	g.times++
	in.twice += 2*g.times - 1
	in.covered += float64(max(1, interval)) / 1e6
	in.reports++
	in.stats.Reports++
	in.stats.Lines += int64(lines)
	in.offered += float64(lines)
	v := SamplingDecision{Weight: 1 / in.part, TrustedFraction: 1, seconds: float64(max(1, interval)) / 1e6}
	rate := float64(arrived) / v.seconds
	most := sudden * max(g.usage, in.usual)
	if g.known >= believed && most > 0 && rate > most && g.sudden < believed {
		// One process that claims the fleet's traffic has counted wrong far likelier than it has grown so in a second.
		g.sudden++
		in.stats.Capped++
		v.TrustedFraction = most / rate
	} else if rate <= most {
		g.sudden = 0
	}
	if g.known++; g.known == 1 {
		g.usage = rate
	}
	if v.TrustedFraction == 1 {
		g.usage += 0.5 * (rate - g.usage)
	}
	g.at = now
	if v.TrustedFraction == 1 {
		in.heard, in.reqs = in.heard+1, in.reqs+rate
	}
	// By its own reports, not by rounds: one that reports each fourth round would always come to the same place.
	_, place := math.Modf(g.phase + float64(g.known)*in.part)
	v.IncludeRoutine = in.part >= 1 || place < in.part
	return v
}

// HealthSignals tells whether a line is taken whatever the sampling says.
func IsHealthSignal(l EndpointLine) bool {
	return l.Failures >= 2 && float64(l.Failures) >= newsPart*float64(l.Attempts) || l.Failures > 0 && l.Failures == l.Attempts
}

// Sample tells whether a line of a report is taken and how many of its sort it stands for.
func (in *Sampler) Sample(v SamplingDecision, l EndpointLine) (weight float64, taken bool) {
	news := IsHealthSignal(l)
	if !news && !v.IncludeRoutine {
		return 0, false
	}
	weight = 1
	if in.stats.Taken++; news {
		in.news++
		in.stats.HealthSignals++
	} else {
		weight = v.Weight
	}
	n := in.nodes[l.Endpoint]
	if n == nil {
		n = &node{}
		in.nodes[l.Endpoint] = n
	}
	tries := float64(l.Attempts) * v.TrustedFraction / v.seconds
	n.tries, n.errored, n.lines = n.tries+weight*tries, n.errored+weight*float64(l.Failures)*v.TrustedFraction/v.seconds, n.lines+1
	n.squares += weight * tries * tries
	n.variance += weight * (weight - 1) * tries * tries // of a line that is taken with the chance 1/weight
	n.variance += weight * tries / v.seconds            // of counting what comes at random: of n, the root of n
	return weight, true
}

// AddMetrics adds a node's own figures as a line that was taken carries them.
func (in *Sampler) AddMetrics(b policyapi.EndpointID, util, queue float64) {
	if n := in.nodes[b]; n != nil {
		n.util.add(util)
		n.queue.add(queue)
	}
}

// EndRound ends a round: what was heard becomes the view, and the part for the next is planned from what came. It returns the
// gateways that have stopped reporting since the last round, in the order of their names.
func (in *Sampler) EndRound(now policyapi.Microseconds) (stopped []string) {
	seconds := float64(now-in.began) / 1e6
	if seconds <= 0 {
		return nil
	}
	in.stats.Reporting, in.stats.Silent = 0, 0
	for name, g := range in.gateways {
		switch {
		case !g.live:
		case now-g.at <= stops*in.set.Period*policyapi.Microseconds(in.stretch):
			in.stats.Reporting++
		default:
			if in.stats.Silent++; !g.quiet {
				g.quiet = true
				stopped = append(stopped, name)
			}
		}
	}
	slices.Sort(stopped)
	// One that has stopped reporting goes on sending: it counts, as the mean of the others, and goes into the error.
	live, reports := float64(in.stats.Reporting+in.stats.Silent), float64(max(1, in.reports))
	scale := live / reports
	// A report of several periods tells what was in the middle of them.
	aged := drift * max(0, in.covered*1e6/reports/float64(max(1, in.set.Period))-1) / 2
	in.stats.ReportsPerGateway = float64(in.reports) / max(1, live)
	in.stats.Rounds++
	if in.part < 1 {
		in.stats.Sampled++
	}
	for _, n := range in.nodes {
		if n.lines == 0 {
			continue // the view stays and ages
		}
		mean := n.tries / reports
		// Of a fleet heard in part: by how much the gateways that were not heard may differ from those that were. One that is
		// heard twice, since its last report was late, counts twice and tells little more.
		missing := live * live * max(0, in.twice/(reports*reports)-1/max(1, live)) * max(0, n.squares/reports-mean*mean)
		f := Estimate{Attempts: n.tries * scale, AttemptsError: twoSigma * math.Sqrt(n.variance*scale*scale+missing), Failures: n.errored * scale, Lines: n.lines, At: now}
		f.Utilization, f.UtilizationError = n.util.mean()
		f.Queue, f.QueueError = n.queue.mean()
		f.AttemptsError += aged * f.Attempts
		f.UtilizationError += aged * max(f.Utilization, 0.1)
		f.QueueError += aged * max(f.Queue, 1)
		*n = node{last: f}
	}
	if in.heard > 0 {
		in.usual = in.reqs / float64(in.heard)
	}
	if in.set.MaxLines > 0 {
		// HealthSignals goes first; what is left of the bound is the calm lines'.
		room := max(0, slack*in.set.MaxLines*seconds-in.news)
		want := 1.0
		if calm := in.offered - in.news; calm > room {
			want = max(leastPart, room/calm)
		}
		if want < in.part {
			in.part = want // at once
		} else {
			in.part = min(want, in.part*1.25) // and back by and by
		}
		// What would come if all reported once a period decides how often they are asked to; going by what does come, the
		// longer interval would end as soon as it has helped.
		all := in.offered / reports * float64(in.stats.Reporting) * 1e6 / float64(max(1, in.set.Period))
		if all > 0 {
			in.stretch = stretched(in.stretch, slack*in.set.MaxLines/all)
		}
	}
	in.stats.SampledFraction = in.part
	in.round++
	in.began, in.offered, in.news, in.heard, in.reqs, in.reports, in.twice, in.covered = now, 0, 0, 0, 0, 0, 0, 0
	return stopped
}

// stretched is how much longer than a period gateways should wait between reports where the part given of what all would
// send can be taken. It goes up at once and comes down with a quarter to spare, so that it does not swing.
func stretched(now int, part float64) int {
	for _, step := range []struct {
		below float64
		is    int
	}{{0.15, 4}, {0.4, 2}} {
		if part < step.below || now >= step.is && part < 1.25*step.below {
			return step.is
		}
	}
	return 1
}

// Estimate is what is known of a node, with the age of it: the error grows by what a second may change.
func (in *Sampler) Estimate(now policyapi.Microseconds, b policyapi.EndpointID) (f Estimate, known bool) {
	n := in.nodes[b]
	if n == nil || n.last.At == 0 {
		return f, false
	}
	f = n.last
	if late := float64(now-f.At)/float64(max(1, in.set.Period)) - 1; late > 0 {
		f.AttemptsError += drift * late * f.Attempts
		f.UtilizationError += drift * late * max(f.Utilization, 0.1)
		f.QueueError += drift * late * max(f.Queue, 1)
	}
	return f, true
}

// drift is the part of a figure by which it may have changed in a period that was not heard.
const drift = 0.1

// GatewayDisconnected says that a gateway is away: it counts among those that report once it reports again.
func (in *Sampler) GatewayDisconnected(name string) {
	if g := in.gateways[name]; g != nil {
		g.live = false
	}
}

// ForgetEndpoint drops a node.
func (in *Sampler) ForgetEndpoint(b policyapi.EndpointID) { delete(in.nodes, b) }

// ShouldDefer tells whether a gateway's report should come later: while more than half of the room for what waits is used, one whose
// last report is younger than a period lets the others go first.
func ShouldDefer(waiting, room int, since, period policyapi.Microseconds) bool {
	return waiting > room/2 && since < period
}

// BatchDelay is how long the core lets inputs gather after a step that took so long. The module looks at all proxies whenever it is
// told anything: with ten thousand of them that is some milliseconds, for one acknowledgement as for a thousand. A step
// that was quick is followed at once; after a long one as much time is left to the rest of the machine.
func BatchDelay(took policyapi.Microseconds) policyapi.Microseconds {
	if took < gatherFrom {
		return 0
	}
	return min(took, gatherMost)
}

const (
	gatherFrom = 2000  // us
	gatherMost = 20000 // a hundredth of what a drain may take is lost by it
)

// OverviewInterval is how long after an overview that took so long the next may be made, whoever asks: a second at least, and a hundredth
// of the core's time at most goes into them.
func OverviewInterval(took policyapi.Microseconds) policyapi.Microseconds {
	return max(1_000_000, 100*took)
}

// IntervalFactor is how much longer than a period gateways may be asked to wait between reports: what comes then is what can be
// taken.
func (in *Sampler) IntervalFactor() int { return in.stretch }

// Stats returns the counts.
func (in *Sampler) Stats() Stats { return in.stats }
