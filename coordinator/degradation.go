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

// degradation joins the levels to the core; nil: there are none.
type degradationState struct {
	controller     *degradation.Controller
	roundAt        micros                          // of the last round
	peakCapacity   map[policyapi.Zone]float64      // capacity that stood open lately
	allocations    map[policyapi.Zone][]allocation // by kind; of zones at a level
	fallbackShares map[policyapi.Zone][]float64    // by kind: the part let in by the level that gateways fall back to
	pendingChecks  []policyapi.EndpointID          // that wait for their turn
	nextCheckAt    micros                          // when the next one may go
}

// allocation is how a level divides what is let in of one kind in a zone: in reqs a second, what comes, what the module lets in, what
// the level gives it.
type allocation struct{ demand, admitted, allocated float64 }

// peakCapacityHalfLife is how long it takes until half of a capacity that is gone is forgotten: a fleet that was made smaller on purpose is
// whole again in minutes.
const peakCapacityHalfLife = 120 * second

func newDegradationState(set degradation.Settings) *degradationState {
	if len(set.Levels) == 0 {
		return nil
	}
	return &degradationState{controller: degradation.New(set), peakCapacity: map[policyapi.Zone]float64{}, allocations: map[policyapi.Zone][]allocation{}, fallbackShares: map[policyapi.Zone][]float64{}}
}

// degradationRound gathers the figures once a period, before the round's sums go to the module, and takes the levels that come of them.
func (c *Core) degradationRound() {
	lv := c.degradation
	if lv == nil || c.now-lv.roundAt < c.settings.Start.Reports.Period*9/10 {
		return
	}
	passed := c.now - lv.roundAt
	lv.roundAt = c.now
	figures := map[policyapi.Zone]degradation.Signals{}
	zones := append([]policyapi.Zone{degradation.FleetScope}, c.settings.Start.Zones...)
	capacity := c.capacities()
	open, away, known := map[policyapi.Zone]float64{}, map[policyapi.Zone]float64{}, map[policyapi.Zone]float64{}
	for _, e := range c.listedEndpoints() {
		if e.Status == policyapi.Ready && !c.ejected[e.ID] {
			w := max(e.Weight, 1e-9) * c.warmUpProgress(e)
			open[e.Zone], open[degradation.FleetScope] = open[e.Zone]+w, open[degradation.FleetScope]+w
		}
	}
	for _, g := range c.gateways {
		if g.connected || c.now-g.lastMessageAt < gatewayMemory {
			known[g.zone], known[degradation.FleetScope] = known[g.zone]+1, known[degradation.FleetScope]+1
			if !g.joined {
				away[g.zone], away[degradation.FleetScope] = away[g.zone]+1, away[degradation.FleetScope]+1
			}
		}
	}
	deals := c.zoneAllocations()
	for _, z := range zones {
		var f degradation.Signals
		if load, told := c.offeredLoad(z, deals, capacity); told {
			f.Set(degradation.TriggerLoad, load)
		}
		if c.endpoints.initialized {
			lv.peakCapacity[z] = max(open[z], lv.peakCapacity[z]*math.Exp2(-float64(passed)/float64(peakCapacityHalfLife)))
			f.Set(degradation.TriggerLostCapacity, 1-open[z]/max(lv.peakCapacity[z], 1e-9))
		}
		if known[z] > 0 && !c.awaitingGateways() {
			f.Set(degradation.TriggerUnreachable, away[z]/known[z])
		}
		if z == degradation.FleetScope {
			f.Set(degradation.TriggerShedReports, 1-c.sampler.Stats().SampledFraction)
			behind := float64(c.ackDelay) / float64(c.settings.Start.Rules.DrainGracePeriod)
			if most := c.settings.Start.Rules.QueueLimit; most > 0 {
				behind = max(behind, c.linesInFlight/most)
			}
			f.Set(degradation.TriggerBehind, behind)
		}
		figures[z] = f
	}
	c.stepDegradation(figures)
	clear(lv.allocations)
	for _, z := range c.settings.Start.Zones {
		if b := lv.controller.Settings().Bounds(lv.controller.Level(z)); lv.controller.Level(z) > 0 {
			lv.allocations[z] = c.allocate(deals[z], b)
		}
	}
	c.updateFallbackShares(deals)
	for _, g := range c.gateways { // what a level divides moves with the load
		if g.joined && lv.controller.Level(g.zone) > 0 {
			g.publishPending = true
			c.updateGateway(g)
		}
	}
}

// updateFallbackShares says what the level that gateways fall back to would let in of each kind now. It moves by a tenth or not at all: each
// change is a message to every gateway of the zone.
func (c *Core) updateFallbackShares(deals map[policyapi.Zone][]allocation) {
	lv := c.degradation
	if c.settings.Fallback.Level == 0 {
		return
	}
	for _, z := range c.settings.Start.Zones {
		parts := make([]float64, len(c.settings.Start.Classes))
		moved := len(lv.fallbackShares[z]) == 0
		for k, d := range c.allocate(deals[z], lv.controller.Settings().Bounds(c.settings.Fallback.Level)) {
			if parts[k] = degradation.AdmittedShare(d.allocated, d.demand); !moved {
				moved = math.Abs(parts[k]-lv.fallbackShares[z][k]) > 0.1
			}
		}
		if !moved {
			continue
		}
		lv.fallbackShares[z] = parts
		for _, g := range c.gateways {
			if g.zone == z {
				g.publishPending = true
				c.updateGateway(g)
			}
		}
	}
}

// forgotten: a gateway that has said nothing for so long is none that is missed.
const gatewayMemory = 300 * second

// stepDegradation takes a step of the levels and has every gateway whose level has changed looked at.
func (c *Core) stepDegradation(figures map[policyapi.Zone]degradation.Signals) {
	lv := c.degradation
	was := map[policyapi.Zone]int{}
	for _, z := range c.settings.Start.Zones {
		was[z] = lv.controller.Level(z)
	}
	set := lv.controller.Settings()
	for _, ch := range lv.controller.Step(c.now, figures) {
		zone := string(ch.Zone)
		if ch.Zone == degradation.FleetScope {
			zone = "the fleet"
		}
		c.emit(LogEntry{Level: LogWarn, Event: "service_level", Text: fmt.Sprintf("%s: %s to %s: %s", zone, set.Name(ch.From), set.Name(ch.To), ch.Reason),
			Fields: []LogField{{"zone", string(ch.Zone)}, {"from", set.Name(ch.From)}, {"to", set.Name(ch.To)}}})
	}
	clear(c.clusterCache)
	for _, g := range c.gateways {
		if g.joined && lv.controller.Level(g.zone) != was[g.zone] {
			g.publishPending = true
			c.updateGateway(g)
		}
	}
}

// capacities are what nodes can do now, in mean reqs a second; what is not known is left out.
func (c *Core) capacities() map[policyapi.EndpointID]float64 {
	out := map[policyapi.EndpointID]float64{}
	for _, e := range c.listedEndpoints() {
		if e.Status != policyapi.Ready || c.ejected[e.ID] {
			continue
		}
		can := math.NaN()
		if c.solver != nil {
			can = c.solver.estimate.Capacity(e.ID)
		}
		if f, known := c.sampler.Estimate(c.now, e.ID); math.IsNaN(can) && known && f.Utilization > 0.1 {
			can = (f.Attempts - f.Failures) / f.Utilization // what it does in a busy second
		}
		if !math.IsNaN(can) && can > 0 {
			out[e.ID] = can * c.warmUpProgress(e)
		}
	}
	return out
}

// allocations sums for each zone and kind what comes and what the module lets in.
func (c *Core) zoneAllocations() map[policyapi.Zone][]allocation {
	out := map[policyapi.Zone][]allocation{}
	for _, z := range c.settings.Start.Zones {
		out[z] = make([]allocation, len(c.settings.Start.Classes))
	}
	for proxy := range policyapi.ProxyID(len(c.gateways)) {
		g := c.byProxy[proxy]
		if !g.joined || !g.bound() || len(out[g.zone]) == 0 {
			continue
		}
		for k := range g.demand {
			d := &out[g.zone][k]
			d.demand, d.admitted = d.demand+g.demand[k], d.admitted+c.classAdmission(g, policyapi.RequestClass(k)).admittedRate(g.demand[k])
		}
	}
	return out
}

// offeredLoad is the work that is asked for over what the nodes can do that serve a zone, or all.
func (c *Core) offeredLoad(zone policyapi.Zone, deals map[policyapi.Zone][]allocation, capacity map[policyapi.EndpointID]float64) (load float64, known bool) {
	asked, let := 0.0, 0.0
	for z, by := range deals {
		for _, d := range by {
			if zone == degradation.FleetScope || z == zone {
				asked, let = asked+d.demand, let+d.admitted
			}
		}
	}
	if let <= 0 {
		return 0, false
	}
	offered, can, sum, weight := 0.0, 0.0, 0.0, 0.0
	for _, b := range slices.Sorted(maps.Keys(capacity)) {
		f, seen := c.sampler.Estimate(c.now, b)
		if !seen {
			continue
		}
		offered, can = offered+f.Attempts, can+capacity[b]
		// A zone's is the mean of its nodes' by how much of its traffic each gets.
		if h := c.aggregate.endpoints[endpointKey{zone, b}]; h != nil {
			sum, weight = sum+float64(h.attempts)*f.Attempts/capacity[b], weight+float64(h.attempts)
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

// allocate divides what is let in of a zone among the kinds by a level's bounds, in work.
func (c *Core) allocate(of []allocation, b degradation.Bounds) []allocation {
	costs := make([]float64, len(of))
	payoff, asked, total := make([]float64, len(of)), make([]float64, len(of)), 0.0
	for k := range of {
		if costs[k] = 1; c.solver != nil {
			costs[k] = c.solver.estimate.Costs()[k]
		}
		payoff[k], asked[k] = c.settings.Start.Classes[k].PriorityWeight, of[k].demand*costs[k]
		total += of[k].admitted * costs[k]
	}
	out := slices.Clone(of)
	for k, given := range degradation.DivideAdmission(total, asked, payoff, b.Share) {
		out[k].allocated = given / costs[k]
	}
	return out
}

// classAdmission is what the module's levels say of a kind at a gateway.
func (c *Core) classAdmission(g *gateway, k policyapi.RequestClass) classAdmission {
	r := classAdmission{rate: routing.UnlimitedRate, warmUpRate: routing.UnlimitedRate, share: 1}
	for _, t := range []policyapi.TableID{policyapi.AllTables, g.tables[k]} {
		a, has := c.admissions[t][k]
		if !has {
			continue
		}
		switch {
		case c.settings.Start.Admission == policyapi.AdmissionByShare:
			r.share = min(r.share, a.Level)
		case c.settings.Start.Admission != policyapi.AdmissionByRate || a.Level >= unlimitedAdmission:
		case t == policyapi.AllTables:
			r.rate = a.Level
		default:
			r.warmUpRate = a.Level
		}
		r.retryPolicy = int(a.RetryPolicy)
	}
	return r
}

// classAdmission is what holds of a kind at a gateway: the rate of all tables, which levels divide, and the one of its own table, which
// guards cold nodes and which nothing lifts.
type classAdmission struct {
	rate, warmUpRate, share float64
	retryPolicy             int
}

// effectiveRate is the rate that holds.
func (r classAdmission) effectiveRate() float64 {
	if r.rate < 0 || r.warmUpRate >= 0 && r.warmUpRate < r.rate {
		return r.warmUpRate
	}
	return r.rate
}

// admittedRate is what a route lets in of what comes.
func (r classAdmission) admittedRate(usage float64) float64 {
	if usage *= r.share; r.effectiveRate() >= 0 {
		usage = min(usage, r.effectiveRate())
	}
	return usage
}

// applyLevelBounds puts a level's bounds over what the module's levels say. The price loop has set how much is let in; the level
// divides it otherwise, and takes second tries away.
func (c *Core) applyLevelBounds(g *gateway, k policyapi.RequestClass, r classAdmission) classAdmission {
	lv := c.degradation
	if lv == nil {
		return r
	}
	at := lv.controller.Level(g.zone)
	if at == 0 {
		g.stableRate(int(k)+len(c.settings.Start.Classes), -1)
		return r
	}
	r.retryPolicy = min(r.retryPolicy, lv.controller.Settings().Bounds(at).RetryPolicy[k])
	by := lv.allocations[g.zone]
	if len(by) == 0 || by[k].demand <= 0 {
		return r
	}
	d := by[k]
	part := degradation.AdmittedShare(d.allocated, d.demand)
	switch {
	case c.settings.Start.Admission == policyapi.AdmissionByShare:
		r.share = part
	case c.settings.Start.Admission != policyapi.AdmissionByRate:
	case part == 1: // it gets all that it asks for
		r.rate = routing.UnlimitedRate
	case r.rate >= 0 && d.admitted > 0 && d.admitted < d.demand:
		r.rate = g.stableRate(int(k)+len(c.settings.Start.Classes), r.rate*d.allocated/d.admitted)
	case int(k) < len(g.demand):
		r.rate = g.stableRate(int(k)+len(c.settings.Start.Classes), max(0.1, part*g.demand[k]))
	}
	return r
}

// stableRate keeps a rate as it was told while it is near what is right: a change of it costs a message.
func (g *gateway) stableRate(key int, rate float64) float64 {
	if g.publishedRates == nil {
		g.publishedRates = map[int]float64{}
	}
	if rate < 0 {
		delete(g.publishedRates, key)
		return rate
	}
	if held, has := g.publishedRates[key]; has && held > 0.8*rate && held < 1.25*rate {
		rate = held
	}
	g.publishedRates[key] = rate
	return rate
}

// limitTable puts a level's bounds on crossing and on lines over a table's weights, as the gateways of a zone get it, or as one does.
func (c *Core) limitTable(zone policyapi.Zone, gateway string, w map[policyapi.EndpointID]float64) map[policyapi.EndpointID]float64 {
	lv := c.degradation
	if lv == nil || lv.controller.Level(zone) == 0 {
		return w
	}
	b := lv.controller.Settings().Bounds(lv.controller.Level(zone))
	if gateway == "" && b.CrossZoneFactor >= 1 || gateway != "" && b.MaxEndpoints == 0 {
		return w
	}
	var lines []degradation.TableEndpoint
	for _, be := range slices.Sorted(maps.Keys(w)) {
		e, known := c.endpoints.entries[be]
		lines = append(lines, degradation.TableEndpoint{Endpoint: be, Weight: w[be], Local: e.Zone == zone, Open: known && e.Status == policyapi.Ready && !c.ejected[be],
			WarmingUp: known && c.warmUpProgress(e) < 1})
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

// hasOwnTable tells whether a gateway's level bounds its lines, so that its table is its own.
func (c *Core) hasOwnTable(g *gateway) bool {
	return c.degradation != nil && c.degradation.controller.Settings().Bounds(c.degradation.controller.Level(g.zone)).MaxEndpoints > 0
}

// fallback is what a gateway's route carries for the time when it reaches no coordinator.
func (c *Core) fallback(g *gateway, k policyapi.RequestClass) (f routing.Fallback) {
	set := c.settings.Fallback
	if c.degradation == nil || set.Level == 0 || len(c.degradation.fallbackShares[g.zone]) == 0 {
		return f
	}
	b := c.degradation.controller.Settings().Bounds(set.Level)
	return routing.Fallback{After: set.After, Duration: set.Duration, Share: c.degradation.fallbackShares[g.zone][k], RetryPolicy: b.RetryPolicy[k]}
}

// checkHealth lets a probe go, or keeps it for its turn while a level bounds them. None is lost, and none waits twice.
func (c *Core) checkHealth(b policyapi.EndpointID) {
	lv := c.degradation
	if lv == nil || lv.healthCheckRate() == 0 && len(lv.pendingChecks) == 0 {
		c.emit(CheckHealth{b})
		return
	}
	if !slices.Contains(lv.pendingChecks, b) {
		lv.pendingChecks = append(lv.pendingChecks, b)
	}
	c.releaseHealthChecks()
}

// healthCheckRate is how many probes a second the fleet's level allows; 0: no bound.
func (lv *degradationState) healthCheckRate() float64 {
	return lv.controller.Settings().Bounds(lv.controller.Level(degradation.FleetScope)).MaxHealthChecks
}

// releaseHealthChecks lets the probes go whose turn has come.
func (c *Core) releaseHealthChecks() {
	lv := c.degradation
	if lv == nil {
		return
	}
	for len(lv.pendingChecks) > 0 && (lv.healthCheckRate() == 0 || c.now >= lv.nextCheckAt) {
		c.emit(CheckHealth{lv.pendingChecks[0]})
		lv.pendingChecks = lv.pendingChecks[1:]
		if pace := lv.healthCheckRate(); pace > 0 {
			lv.nextCheckAt = c.now + micros(float64(second)/pace)
		}
	}
}

// SetLevelOverride takes an operator's word about levels in; it is in force from the next step on.
func (c *Core) SetLevelOverride(w degradation.Override) (degradation.Override, error) {
	if c.degradation == nil {
		return w, fmt.Errorf("%w: service.levels is empty", degradation.ErrNoLevel)
	}
	said, err := c.degradation.controller.SetOverride(c.now, w)
	if err == nil {
		c.deferred = append(c.deferred, LogEntry{Level: LogWarn, Event: "level_word", Text: fmt.Sprintf("word %d: %s %s in %q for %d s: %s", said.ID, said.Action,
			c.degradation.controller.Settings().Name(said.Level), said.Zone, (said.Until-c.now)/second, said.Reason)})
		c.applyOverrides()
	}
	return said, err
}

// ClearLevelOverride takes an operator's word back.
func (c *Core) ClearLevelOverride(id int, reason string) (degradation.Override, error) {
	if c.degradation == nil {
		return degradation.Override{}, fmt.Errorf("%w: service.levels is empty", degradation.ErrNoLevel)
	}
	w, err := c.degradation.controller.ClearOverride(id)
	if err == nil {
		c.deferred = append(c.deferred, LogEntry{Level: LogWarn, Event: "level_word", Text: fmt.Sprintf("word %d is taken back: %s", id, reason)})
		c.applyOverrides()
	}
	return w, err
}

// applyOverrides puts words in force without waiting for the next round; its notes come with the next step.
func (c *Core) applyOverrides() {
	held := c.outputs
	c.outputs = nil
	c.stepDegradation(nil)
	c.deferred, c.outputs = append(c.deferred, c.outputs...), held
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
	if c.degradation == nil {
		return out
	}
	m := c.degradation.controller
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
		by[g.inFlight.Level()]++
	}
	return out
}
