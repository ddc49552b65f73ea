package coordinator

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"porthub/degradation"
	"porthub/policyapi"
	"porthub/routing"
)

// Package service decides which level of reduced service is in force; here is what it is told and where its bounds act.

// leveling joins the levels to the core; nil: there are none.
type leveling struct {
	machine *degradation.Controller
	at      micros                       // of the last round
	peak    map[policyapi.Zone]float64   // capacity that stood open lately
	deals   map[policyapi.Zone][]deal    // by kind; of zones at a level
	falls   map[policyapi.Zone][]float64 // by kind: the part let in by the level that gateways fall back to
	probes  []policyapi.EndpointID       // that wait for their turn
	probeAt micros                       // when the next one may go
}

// deal is how a level divides what is let in of one kind in a zone: in reqs a second, what comes, what the module lets in, what
// the level gives it.
type deal struct{ asked, let, given float64 }

// peakHalf is how long it takes until half of a capacity that is gone is forgotten: a fleet that was made smaller on purpose is
// whole again in minutes.
const peakHalf = 120 * second

func newLeveling(set degradation.Settings) *leveling {
	if len(set.Levels) == 0 {
		return nil
	}
	return &leveling{machine: degradation.New(set), peak: map[policyapi.Zone]float64{}, deals: map[policyapi.Zone][]deal{}, falls: map[policyapi.Zone][]float64{}}
}

// levelRound gathers the figures once a period, before the round's sums go to the module, and takes the levels that come of them.
func (c *Core) levelRound() {
	lv := c.leveling
	if lv == nil || c.now-lv.at < c.set.Start.Reports.Period*9/10 {
		return
	}
	passed := c.now - lv.at
	lv.at = c.now
	figures := map[policyapi.Zone]degradation.Signals{}
	zones := append([]policyapi.Zone{degradation.FleetScope}, c.set.Start.Zones...)
	capacity := c.capacities()
	open, away, known := map[policyapi.Zone]float64{}, map[policyapi.Zone]float64{}, map[policyapi.Zone]float64{}
	for _, e := range c.present() {
		if e.Status == policyapi.Ready && !c.withdrawn[e.ID] {
			w := max(e.Weight, 1e-9) * c.warmth(e)
			open[e.Zone], open[degradation.FleetScope] = open[e.Zone]+w, open[degradation.FleetScope]+w
		}
	}
	for _, g := range c.gateways {
		if g.linked || c.now-g.heardAt < forgotten {
			known[g.zone], known[degradation.FleetScope] = known[g.zone]+1, known[degradation.FleetScope]+1
			if !g.joined {
				away[g.zone], away[degradation.FleetScope] = away[g.zone]+1, away[degradation.FleetScope]+1
			}
		}
	}
	deals := c.deals()
	for _, z := range zones {
		var f degradation.Signals
		if load, told := c.load(z, deals, capacity); told {
			f.Set(degradation.TriggerLoad, load)
		}
		if c.list.has {
			lv.peak[z] = max(open[z], lv.peak[z]*math.Exp2(-float64(passed)/float64(peakHalf)))
			f.Set(degradation.TriggerLostCapacity, 1-open[z]/max(lv.peak[z], 1e-9))
		}
		if known[z] > 0 && !c.gathering() {
			f.Set(degradation.TriggerUnreachable, away[z]/known[z])
		}
		if z == degradation.FleetScope {
			f.Set(degradation.TriggerShedReports, 1-c.intake.Stats().SampledFraction)
			behind := float64(c.lag) / float64(c.set.Start.Rules.DrainGracePeriod)
			if most := c.set.Start.Rules.QueueLimit; most > 0 {
				behind = max(behind, c.onWay/most)
			}
			f.Set(degradation.TriggerBehind, behind)
		}
		figures[z] = f
	}
	c.relevel(figures)
	clear(lv.deals)
	for _, z := range c.set.Start.Zones {
		if b := lv.machine.Settings().Bounds(lv.machine.Level(z)); lv.machine.Level(z) > 0 {
			lv.deals[z] = c.divide(deals[z], b)
		}
	}
	c.fall(deals)
	for _, g := range c.gateways { // what a level divides moves with the load
		if g.joined && lv.machine.Level(g.zone) > 0 {
			g.owed = true
			c.watch(g)
		}
	}
}

// fall says what the level that gateways fall back to would let in of each kind now. It moves by a tenth or not at all: each
// change is a message to every gateway of the zone.
func (c *Core) fall(deals map[policyapi.Zone][]deal) {
	lv := c.leveling
	if c.set.Fallback.Level == 0 {
		return
	}
	for _, z := range c.set.Start.Zones {
		parts := make([]float64, len(c.set.Start.Classes))
		moved := len(lv.falls[z]) == 0
		for k, d := range c.divide(deals[z], lv.machine.Settings().Bounds(c.set.Fallback.Level)) {
			if parts[k] = degradation.AdmittedShare(d.given, d.asked); !moved {
				moved = math.Abs(parts[k]-lv.falls[z][k]) > 0.1
			}
		}
		if !moved {
			continue
		}
		lv.falls[z] = parts
		for _, g := range c.gateways {
			if g.zone == z {
				g.owed = true
				c.watch(g)
			}
		}
	}
}

// forgotten: a gateway that has said nothing for so long is none that is missed.
const forgotten = 300 * second

// relevel takes a step of the levels and has every gateway whose level has changed looked at.
func (c *Core) relevel(figures map[policyapi.Zone]degradation.Signals) {
	lv := c.leveling
	was := map[policyapi.Zone]int{}
	for _, z := range c.set.Start.Zones {
		was[z] = lv.machine.Level(z)
	}
	set := lv.machine.Settings()
	for _, ch := range lv.machine.Step(c.now, figures) {
		zone := string(ch.Zone)
		if ch.Zone == degradation.FleetScope {
			zone = "the fleet"
		}
		c.out(LogEntry{Level: LogWarn, Event: "service_level", Text: fmt.Sprintf("%s: %s to %s: %s", zone, set.Name(ch.From), set.Name(ch.To), ch.Reason),
			Fields: []LogField{{"zone", string(ch.Zone)}, {"from", set.Name(ch.From)}, {"to", set.Name(ch.To)}}})
	}
	clear(c.made)
	for _, g := range c.gateways {
		if g.joined && lv.machine.Level(g.zone) != was[g.zone] {
			g.owed = true
			c.watch(g)
		}
	}
}

// capacities are what nodes can do now, in mean reqs a second; what is not known is left out.
func (c *Core) capacities() map[policyapi.EndpointID]float64 {
	out := map[policyapi.EndpointID]float64{}
	for _, e := range c.present() {
		if e.Status != policyapi.Ready || c.withdrawn[e.ID] {
			continue
		}
		can := math.NaN()
		if c.solving != nil {
			can = c.solving.estimate.Capacity(e.ID)
		}
		if f, known := c.intake.Estimate(c.now, e.ID); math.IsNaN(can) && known && f.Utilization > 0.1 {
			can = (f.Attempts - f.Failures) / f.Utilization // what it does in a busy second
		}
		if !math.IsNaN(can) && can > 0 {
			out[e.ID] = can * c.warmth(e)
		}
	}
	return out
}

// deals sums for each zone and kind what comes and what the module lets in.
func (c *Core) deals() map[policyapi.Zone][]deal {
	out := map[policyapi.Zone][]deal{}
	for _, z := range c.set.Start.Zones {
		out[z] = make([]deal, len(c.set.Start.Classes))
	}
	for proxy := range policyapi.ProxyID(len(c.gateways)) {
		g := c.byProxy[proxy]
		if !g.joined || !g.bound() || len(out[g.zone]) == 0 {
			continue
		}
		for k := range g.usage {
			d := &out[g.zone][k]
			d.asked, d.let = d.asked+g.usage[k], d.let+c.moduleRoute(g, policyapi.RequestClass(k)).lets(g.usage[k])
		}
	}
	return out
}

// load is the work that is asked for over what the nodes can do that serve a zone, or all.
func (c *Core) load(zone policyapi.Zone, deals map[policyapi.Zone][]deal, capacity map[policyapi.EndpointID]float64) (load float64, known bool) {
	asked, let := 0.0, 0.0
	for z, by := range deals {
		for _, d := range by {
			if zone == degradation.FleetScope || z == zone {
				asked, let = asked+d.asked, let+d.let
			}
		}
	}
	if let <= 0 {
		return 0, false
	}
	offered, can, sum, weight := 0.0, 0.0, 0.0, 0.0
	for _, b := range slices.Sorted(maps.Keys(capacity)) {
		f, seen := c.intake.Estimate(c.now, b)
		if !seen {
			continue
		}
		offered, can = offered+f.Attempts, can+capacity[b]
		// A zone's is the mean of its nodes' by how much of its traffic each gets.
		if h := c.sums.heard[heardKey{zone, b}]; h != nil {
			sum, weight = sum+float64(h.tries)*f.Attempts/capacity[b], weight+float64(h.tries)
		}
	}
	switch {
	case zone == degradation.FleetScope && can > 0:
		return offered / can * asked / let, true
	case weight > 0:
		return sum / weight * asked / let, true
	}
	return 0, false
}

// divide divides what is let in of a zone among the kinds by a level's bounds, in work.
func (c *Core) divide(of []deal, b degradation.Bounds) []deal {
	costs := make([]float64, len(of))
	payoff, asked, total := make([]float64, len(of)), make([]float64, len(of)), 0.0
	for k := range of {
		if costs[k] = 1; c.solving != nil {
			costs[k] = c.solving.estimate.Costs()[k]
		}
		payoff[k], asked[k] = c.set.Start.Classes[k].PriorityWeight, of[k].asked*costs[k]
		total += of[k].let * costs[k]
	}
	out := slices.Clone(of)
	for k, given := range degradation.DivideAdmission(total, asked, payoff, b.Share) {
		out[k].given = given / costs[k]
	}
	return out
}

// moduleRoute is what the module's levels say of a kind at a gateway.
func (c *Core) moduleRoute(g *gateway, k policyapi.RequestClass) route {
	r := route{rate: routing.UnlimitedRate, guard: routing.UnlimitedRate, share: 1}
	for _, t := range []policyapi.TableID{policyapi.AllTables, g.binds[k]} {
		a, has := c.levels[t][k]
		if !has {
			continue
		}
		switch {
		case c.set.Start.Admission == policyapi.AdmissionByShare:
			r.share = min(r.share, a.Level)
		case c.set.Start.Admission != policyapi.AdmissionByRate || a.Level >= everything:
		case t == policyapi.AllTables:
			r.rate = a.Level
		default:
			r.guard = a.Level
		}
		r.secondTry = int(a.RetryPolicy)
	}
	return r
}

// route is what holds of a kind at a gateway: the rate of all tables, which levels divide, and the one of its own table, which
// guards cold nodes and which nothing lifts.
type route struct {
	rate, guard, share float64
	secondTry          int
}

// most is the rate that holds.
func (r route) most() float64 {
	if r.rate < 0 || r.guard >= 0 && r.guard < r.rate {
		return r.guard
	}
	return r.rate
}

// lets is what a route lets in of what comes.
func (r route) lets(usage float64) float64 {
	if usage *= r.share; r.most() >= 0 {
		usage = min(usage, r.most())
	}
	return usage
}

// bounded puts a level's bounds over what the module's levels say. The price loop has set how much is let in; the level
// divides it otherwise, and takes second tries away.
func (c *Core) bounded(g *gateway, k policyapi.RequestClass, r route) route {
	lv := c.leveling
	if lv == nil {
		return r
	}
	at := lv.machine.Level(g.zone)
	if at == 0 {
		g.settled(int(k)+len(c.set.Start.Classes), -1)
		return r
	}
	r.secondTry = min(r.secondTry, lv.machine.Settings().Bounds(at).RetryPolicy[k])
	by := lv.deals[g.zone]
	if len(by) == 0 || by[k].asked <= 0 {
		return r
	}
	d := by[k]
	part := degradation.AdmittedShare(d.given, d.asked)
	switch {
	case c.set.Start.Admission == policyapi.AdmissionByShare:
		r.share = part
	case c.set.Start.Admission != policyapi.AdmissionByRate:
	case part == 1: // it gets all that it asks for
		r.rate = routing.UnlimitedRate
	case r.rate >= 0 && d.let > 0 && d.let < d.asked:
		r.rate = g.settled(int(k)+len(c.set.Start.Classes), r.rate*d.given/d.let)
	case int(k) < len(g.usage):
		r.rate = g.settled(int(k)+len(c.set.Start.Classes), max(0.1, part*g.usage[k]))
	}
	return r
}

// settled keeps a rate as it was told while it is near what is right: a change of it costs a message.
func (g *gateway) settled(key int, rate float64) float64 {
	if g.caps == nil {
		g.caps = map[int]float64{}
	}
	if rate < 0 {
		delete(g.caps, key)
		return rate
	}
	if held, has := g.caps[key]; has && held > 0.8*rate && held < 1.25*rate {
		rate = held
	}
	g.caps[key] = rate
	return rate
}

// narrowed puts a level's bounds on crossing and on lines over a table's weights, as the gateways of a zone get it, or as one does.
func (c *Core) narrowed(zone policyapi.Zone, gateway string, w map[policyapi.EndpointID]float64) map[policyapi.EndpointID]float64 {
	lv := c.leveling
	if lv == nil || lv.machine.Level(zone) == 0 {
		return w
	}
	b := lv.machine.Settings().Bounds(lv.machine.Level(zone))
	if gateway == "" && b.CrossZoneFactor >= 1 || gateway != "" && b.MaxEndpoints == 0 {
		return w
	}
	var lines []degradation.TableEndpoint
	for _, be := range slices.Sorted(maps.Keys(w)) {
		e, known := c.list.entries[be]
		lines = append(lines, degradation.TableEndpoint{Endpoint: be, Weight: w[be], Local: e.Zone == zone, Open: known && e.Status == policyapi.Ready && !c.withdrawn[be],
			WarmingUp: known && c.warmth(e) < 1})
	}
	if gateway == "" {
		lines = b.LimitCrossZone(lines)
	} else {
		lines = b.LimitEndpoints(gateway, lines)
	}
	out := map[policyapi.EndpointID]float64{}
	for _, l := range lines {
		if l.Weight > 0 {
			out[l.Endpoint] = l.Weight
		}
	}
	return out
}

// fewer tells whether a gateway's level bounds its lines, so that its table is its own.
func (c *Core) fewer(g *gateway) bool {
	return c.leveling != nil && c.leveling.machine.Settings().Bounds(c.leveling.machine.Level(g.zone)).MaxEndpoints > 0
}

// fallback is what a gateway's route carries for the time when it reaches no coordinator.
func (c *Core) fallback(g *gateway, k policyapi.RequestClass) (f routing.Fallback) {
	set := c.set.Fallback
	if c.leveling == nil || set.Level == 0 || len(c.leveling.falls[g.zone]) == 0 {
		return f
	}
	b := c.leveling.machine.Settings().Bounds(set.Level)
	return routing.Fallback{After: set.After, Duration: set.Duration, Share: c.leveling.falls[g.zone][k], RetryPolicy: b.RetryPolicy[k]}
}

// probe lets a probe go, or keeps it for its turn while a level bounds them. None is lost, and none waits twice.
func (c *Core) probe(b policyapi.EndpointID) {
	lv := c.leveling
	if lv == nil || lv.pace() == 0 && len(lv.probes) == 0 {
		c.out(CheckHealth{b})
		return
	}
	if !slices.Contains(lv.probes, b) {
		lv.probes = append(lv.probes, b)
	}
	c.probeOn()
}

// pace is how many probes a second the fleet's level allows; 0: no bound.
func (lv *leveling) pace() float64 {
	return lv.machine.Settings().Bounds(lv.machine.Level(degradation.FleetScope)).MaxHealthChecks
}

// probeOn lets the probes go whose turn has come.
func (c *Core) probeOn() {
	lv := c.leveling
	if lv == nil {
		return
	}
	for len(lv.probes) > 0 && (lv.pace() == 0 || c.now >= lv.probeAt) {
		c.out(CheckHealth{lv.probes[0]})
		lv.probes = lv.probes[1:]
		if pace := lv.pace(); pace > 0 {
			lv.probeAt = c.now + micros(float64(second)/pace)
		}
	}
}

// SetLevelOverride takes an operator's word about levels in; it is in force from the next step on.
func (c *Core) SetLevelOverride(w degradation.Override) (degradation.Override, error) {
	if c.leveling == nil {
		return w, fmt.Errorf("%w: service.levels is empty", degradation.ErrNoLevel)
	}
	said, err := c.leveling.machine.SetOverride(c.now, w)
	if err == nil {
		c.later = append(c.later, LogEntry{Level: LogWarn, Event: "level_word", Text: fmt.Sprintf("word %d: %s %s in %q for %d s: %s", said.ID, said.Action,
			c.leveling.machine.Settings().Name(said.Level), said.Zone, (said.Until-c.now)/second, said.Reason)})
		c.relevelNow()
	}
	return said, err
}

// ClearLevelOverride takes an operator's word back.
func (c *Core) ClearLevelOverride(id int, reason string) (degradation.Override, error) {
	if c.leveling == nil {
		return degradation.Override{}, fmt.Errorf("%w: service.levels is empty", degradation.ErrNoLevel)
	}
	w, err := c.leveling.machine.ClearOverride(id)
	if err == nil {
		c.later = append(c.later, LogEntry{Level: LogWarn, Event: "level_word", Text: fmt.Sprintf("word %d is taken back: %s", id, reason)})
		c.relevelNow()
	}
	return w, err
}

// relevelNow puts words in force without waiting for the next round; its notes come with the next step.
func (c *Core) relevelNow() {
	held := c.outputs
	c.outputs = nil
	c.relevel(nil)
	c.later, c.outputs = append(c.later, c.outputs...), held
}

// Admission is how the levels of service stand.
type DegradationStatus struct {
	Now          policyapi.Microseconds    `json:"now_us"`
	Levels       []string                  `json:"levels"` // by severity, the usual service first
	Scopes       []degradation.ScopeStatus `json:"standings"`
	Overrides    []degradation.Override    `json:"words"`
	Gateways     map[string]map[int]int    `json:"gateways"` // by zone and level: how many are known to hold it
	Disconnected int                       `json:"away"`     // gateways that are not joined: they go on by what they hold
}

// Admission tells it; without levels it is the usual service everywhere.
func (c *Core) Degradation() DegradationStatus {
	out := DegradationStatus{Now: c.now, Levels: []string{degradation.NormalLevel}, Gateways: map[string]map[int]int{}}
	if c.leveling == nil {
		return out
	}
	m := c.leveling.machine
	for i := range m.Settings().Levels {
		out.Levels = append(out.Levels, m.Settings().Name(i+1))
	}
	out.Scopes, out.Overrides = m.Scopes(c.now), m.Overrides()
	for _, g := range c.gateways {
		if !g.joined {
			out.Disconnected++
		}
		by := out.Gateways[string(g.zone)]
		if by == nil {
			by = map[int]int{}
			out.Gateways[string(g.zone)] = by
		}
		by[g.ledger.Level()]++
	}
	return out
}
