package policy

import (
	"maps"
	"slices"

	"porthub/policyapi"
)

const (
	// disconnectedDecay is the factor by which the demand of a disconnected proxy shrinks each round.
	disconnectedDecay = 0.97
	// maxDisconnectedShare is the demand of disconnected proxies, as a fraction of that of the connected ones, up to which
	// the reports count as covering all of the load: of hundreds of proxies, some are always disconnected.
	maxDisconnectedShare = 0.05
)

// proxyDemand is a connected proxy's demand in requests per second.
type proxyDemand struct {
	proxy policyapi.ProxyID
	zone  int       // position in the settings' zones
	rates []float64 // by request class
	total float64
}

// proxyRecord is the registry's state of a proxy, connected or not.
type proxyRecord struct {
	zone          int       // negative: not one of the settings' zones
	rates         []float64 // by request class
	roundRequests []float64 // by request class, reported in the current round
	countedUntil  []micros  // by request class, time up to which requests are counted
	connected     bool
	reported      bool // the rates are measured and not assumed
}

// applyRound updates the rates with the requests of a round. meanDemand is the mean over the connected proxies.
func (p *proxyRecord) applyRound(now micros, round reportRound, meanDemand float64) {
	limit := p.maxRate(meanDemand)
	for class := range p.rates {
		if !p.connected {
			p.rates[class] *= disconnectedDecay
			continue
		}
		if p.roundRequests[class] <= 0 && now-p.countedUntil[class] <= round.silenceLimit {
			continue
		}
		seconds, step := decayStep(now, p.countedUntil[class], round.seconds)
		rate := min(p.rates[class], limit)
		p.rates[class] = rate + step*(min(p.roundRequests[class]/seconds, limit)-rate)
		p.roundRequests[class] = 0
		p.countedUntil[class] = now
		p.reported = true
	}
}

// maxRate returns the requests per second up to which a report on the proxy counts. A rate that is only assumed says nothing about
// the limit.
func (p *proxyRecord) maxRate(meanDemand float64) float64 {
	if !p.reported {
		return surgeLimit(meanDemand)
	}
	return surgeLimit(max(meanDemand, sum(p.rates)))
}

// proxyRegistry follows the proxies and estimates their demand.
type proxyRegistry struct {
	mailbox
	planner    *planner
	zones      []policyapi.Zone
	classCount int
	proxies    map[policyapi.ProxyID]*proxyRecord
	meanDemand float64 // of the connected proxies, as last published
	changed    bool    // the demand has changed since the last demandUpdate
	urgent     bool
}

func newProxyRegistry(p *planner, zones []policyapi.Zone, classCount int) *proxyRegistry {
	return &proxyRegistry{planner: p, zones: zones, classCount: classCount, proxies: map[policyapi.ProxyID]*proxyRecord{}}
}

func (r *proxyRegistry) receive(now micros, m message) {
	switch m := m.(type) {
	case hostEvent:
		r.handleEvent(now, m.event)
	case reportRound:
		if m.seconds > 0 {
			for _, p := range r.proxies {
				p.applyRound(now, m, r.meanDemand)
			}
		}
		r.changed = true
	case batchEnd:
		if r.changed {
			r.publish()
		}
	}
}

func (r *proxyRegistry) handleEvent(now micros, event policyapi.Event) {
	switch event := event.(type) {
	case policyapi.ProxyConnected:
		r.connect(now, event)
	case policyapi.ProxyDisconnected:
		if p := r.proxies[event.Proxy]; p != nil {
			p.connected = false
			r.changed = true
		}
	case policyapi.ProxyLoad:
		p := r.proxies[event.Proxy]
		validClass := event.Class >= 0 && int(event.Class) < r.classCount
		if p != nil && p.connected && validClass {
			p.roundRequests[event.Class] += float64(event.Requests)
		}
	}
}

// connect registers a proxy. Its demand is that of its previous stream if that was measured, and otherwise its weight,
// divided evenly among the classes.
func (r *proxyRegistry) connect(now micros, event policyapi.ProxyConnected) {
	p := r.proxies[event.Proxy]
	if p == nil {
		p = &proxyRecord{rates: make([]float64, r.classCount)}
		r.proxies[event.Proxy] = p
	}
	p.connected = true
	p.zone = slices.Index(r.zones, event.Zone)
	p.roundRequests = make([]float64, r.classCount)
	p.countedUntil = slices.Repeat([]micros{now}, r.classCount)
	if !p.reported {
		for class := range p.rates {
			p.rates[class] = event.Weight / float64(r.classCount)
		}
	}
	r.changed = true
	r.urgent = true
}

// publish sends the connected proxies' demand to the planner.
func (r *proxyRegistry) publish() {
	update := demandUpdate{urgent: r.urgent}
	r.changed = false
	r.urgent = false
	connected, disconnected := 0.0, 0.0
	order := slices.Sorted(maps.Keys(r.proxies))
	r.limitAssumed(order)
	for _, id := range order {
		p := r.proxies[id]
		total := sum(p.rates)
		if !p.connected {
			disconnected += total
			continue
		}
		connected += total
		if p.zone >= 0 {
			update.proxies = append(update.proxies, &proxyDemand{id, p.zone, slices.Clone(p.rates), total})
		}
	}
	update.allConnected = disconnected <= maxDisconnectedShare*connected
	r.planner.send(update)
}

// limitAssumed limits the demand of the proxies that have not been reported yet to what is plausible in view of the others, and
// updates meanDemand.
func (r *proxyRegistry) limitAssumed(order []policyapi.ProxyID) {
	all, count := 0.0, 0.0
	for _, id := range order {
		if p := r.proxies[id]; p.connected {
			all += sum(p.rates)
			count++
		}
	}
	for _, id := range order {
		p := r.proxies[id]
		total := sum(p.rates)
		if !p.connected || p.reported || count < 2 {
			continue
		}
		limit := surgeLimit((all - total) / (count - 1))
		if total <= limit {
			continue
		}
		for class := range p.rates {
			p.rates[class] *= limit / total
		}
		all -= total - limit
	}
	r.meanDemand = all / max(count, 1)
}
