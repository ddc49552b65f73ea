package coordinator

import (
	"porthub/degradation"
	"porthub/policyapi"
	"porthub/routing"
)

// unlimitedAdmission is the rate in requests per second from which a level means no limit: no gateway comes near it.
const unlimitedAdmission = 1e6

// minAdmittedRate is the least rate, in requests per second, that the solver or a level sets for a gateway: the demand that it
// is computed from may have been near zero, and enough requests must be admitted to measure it again.
const minAdmittedRate = 0.1

// A published rate stays while it is within these factors of the newly computed one: a change costs a message.
const (
	minRateRatio = 0.8
	maxRateRatio = 1.25
)

// classAdmission is what a gateway admits of a class: the rate for all tables, which levels of service divide among the classes,
// and the rate of its own table, which protects endpoints that are warming up and which no level of service raises. Rates are
// in requests per second; routing.UnlimitedRate: no limit.
type classAdmission struct {
	rate, warmUpRate, share float64
	retryPolicy             policyapi.RetryPolicy
}

// effectiveRate is the lower of both rates.
func (a classAdmission) effectiveRate() float64 {
	if a.rate < 0 || a.warmUpRate >= 0 && a.warmUpRate < a.rate {
		return a.warmUpRate
	}
	return a.rate
}

// admittedRate is what is admitted of a demand in requests per second.
func (a classAdmission) admittedRate(demand float64) float64 {
	admitted := demand * a.share
	if rate := a.effectiveRate(); rate >= 0 {
		admitted = min(admitted, rate)
	}
	return admitted
}

// policyAdmission is the admission of a class at a gateway as the decision module ordered it.
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

// applyLevelBounds applies the bounds of a gateway's level of service to what the module orders. The module has determined how
// much is admitted in all; the level divides it differently among the classes, and bounds retries.
func (c *Core) applyLevelBounds(g *gateway, class policyapi.RequestClass, a classAdmission) classAdmission {
	if c.degradation == nil {
		return a
	}
	key := rateKey{int(class), rateOfLevel}
	level := c.degradation.controller.Level(g.zone)
	if level == 0 {
		g.forgetRate(key)
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

// solverRate converts the solver's admitted share of a class to a rate at a gateway, no higher than the base rate.
func (g *gateway) solverRate(class int, admittedShare, base float64) float64 {
	key := rateKey{class, rateOfSolver}
	if admittedShare >= 1 {
		g.forgetRate(key)
		return base
	}
	rate := g.stableRate(key, max(minAdmittedRate, admittedShare*g.demandOf(class)))
	if base >= 0 {
		rate = min(rate, base)
	}
	return rate
}

// rateKey identifies a rate that was published to a gateway, by class and by what set it.
type rateKey struct {
	class  int
	source rateSource
}

type rateSource int

const (
	rateOfSolver rateSource = iota
	rateOfLevel
)

// stableRate returns the last published rate if the rate computed now is near it, or else the rate computed now.
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

func (g *gateway) forgetRate(key rateKey) { delete(g.publishedRates, key) }

// admittedRate is the requests per second that a gateway admits of a class by the snapshot last sent to it.
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
