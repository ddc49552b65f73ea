package coordinator

import (
	"porthub/degradation"
	"porthub/policyapi"
	"porthub/routing"
)

// unlimitedAdmission is the rate, in requests per second, from which an order sets no limit: no gateway receives nearly as many
// requests.
const unlimitedAdmission = 1e6

// minAdmittedRate is the lowest rate, in requests per second, that the solver or a level sets for a gateway: the rate is computed
// from the demand, which may have been near zero, and enough requests must be admitted to measure the demand again.
const minAdmittedRate = 0.1

// A published rate is kept while it is within these multiples of the newly computed rate, since each change costs a message.
const (
	minRateRatio = 0.8
	maxRateRatio = 1.25
)

// classAdmission is what a gateway admits of a class. Rates are in requests per second, or routing.UnlimitedRate.
type classAdmission struct {
	// rate is the rate for all tables, which levels of service divide among the classes. warmUpRate is the rate of the gateway's
	// own table: it protects endpoints that are warming up, and no level of service raises it. share is a fraction of the demand.
	rate, warmUpRate, share float64
	retryPolicy             policyapi.RetryPolicy
}

// effectiveRate returns the lower of both rates.
func (a classAdmission) effectiveRate() float64 {
	if a.rate < 0 || a.warmUpRate >= 0 && a.warmUpRate < a.rate {
		return a.warmUpRate
	}
	return a.rate
}

// admittedRate returns the admitted part of a demand, in requests per second.
func (a classAdmission) admittedRate(demand float64) float64 {
	admitted := demand * a.share
	if rate := a.effectiveRate(); rate >= 0 {
		admitted = min(admitted, rate)
	}
	return admitted
}

// policyAdmission returns the admission of a class at a gateway as ordered by the decision module.
func (c *Core) policyAdmission(g *gateway, class policyapi.RequestClass) classAdmission {
	a := classAdmission{rate: routing.UnlimitedRate, warmUpRate: routing.UnlimitedRate, share: 1}
	for _, table := range []policyapi.TableID{policyapi.AllTables, g.tables[class]} {
		order, has := c.tables.admissions[table][class]
		if !has {
			continue
		}
		switch {
		case c.settings.Start.Admission == policyapi.AdmissionByShare:
			a.share = min(a.share, order.Level)
		case c.settings.Start.Admission != policyapi.AdmissionByRate || order.Level >= unlimitedAdmission:
		case table == policyapi.AllTables:
			a.rate = order.Level
		default:
			a.warmUpRate = order.Level
		}
		a.retryPolicy = order.RetryPolicy
	}
	return a
}

// applyLevelBounds applies the bounds of a gateway's level of service to the admission that the module has ordered. The module
// determines how much is admitted in total; the level divides it differently among the classes and limits retries.
func (c *Core) applyLevelBounds(g *gateway, class policyapi.RequestClass, a classAdmission) classAdmission {
	if c.degradation == nil {
		return a
	}
	key := rateKey{int(class), rateOfLevel}
	level := c.degradation.controller.Level(g.zone)
	if level == 0 {
		g.discardRate(key)
		return a
	}
	a.retryPolicy = min(a.retryPolicy, c.degradation.controller.Settings().Bounds(level).RetryPolicy[class])
	allocations := c.degradation.allocations[g.zone]
	if len(allocations) == 0 || allocations[class].demand <= 0 {
		return a
	}
	allocated := allocations[class]
	share := degradation.AdmittedShare(allocated.allocated, allocated.demand)
	switch {
	case c.settings.Start.Admission == policyapi.AdmissionByShare:
		a.share = share
	case c.settings.Start.Admission != policyapi.AdmissionByRate:
	case share == 1: // the class gets all of its demand
		a.rate = routing.UnlimitedRate
	case a.rate >= 0 && allocated.admitted > 0 && allocated.admitted < allocated.demand:
		a.rate = g.stableRate(key, a.rate*allocated.allocated/allocated.admitted)
	case int(class) < len(g.demand):
		a.rate = g.stableRate(key, max(minAdmittedRate, share*g.demand[class]))
	}
	return a
}

// solverRate converts the solver's admitted share of a class to a rate at a gateway, which is at most the base rate.
func (g *gateway) solverRate(class int, admittedShare, base float64) float64 {
	key := rateKey{class, rateOfSolver}
	if admittedShare >= 1 {
		g.discardRate(key)
		return base
	}
	rate := g.stableRate(key, max(minAdmittedRate, admittedShare*g.demandOf(class)))
	if base >= 0 {
		rate = min(rate, base)
	}
	return rate
}

// rateKey identifies a rate that was published to a gateway.
type rateKey struct {
	class  int
	source rateSource
}

// rateSource is what a published rate was computed from.
type rateSource int

const (
	rateOfSolver rateSource = iota
	rateOfLevel
)

// stableRate returns the last published rate if the newly computed rate is close to it, and otherwise the new one.
func (g *gateway) stableRate(key rateKey, rate float64) float64 {
	if g.publishedRates == nil {
		g.publishedRates = map[rateKey]float64{}
	}
	if last, has := g.publishedRates[key]; has && last > minRateRatio*rate && last < maxRateRatio*rate {
		rate = last
	}
	g.publishedRates[key] = rate
	return rate
}

func (g *gateway) discardRate(key rateKey) { delete(g.publishedRates, key) }

// admittedRate returns the requests per second that a gateway admits of a class by the snapshot last sent to it.
func (g *gateway) admittedRate(class int) float64 {
	admitted := g.demandOf(class)
	routes := g.delivery.Sent().Routes
	if class >= len(routes) {
		return admitted
	}
	route := routes[class]
	admitted *= route.Share
	if route.Rate >= 0 {
		admitted = min(admitted, route.Rate)
	}
	return admitted
}
