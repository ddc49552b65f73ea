package coordinator

import (
	"maps"
	"slices"

	"porthub/policyapi"
	"porthub/routing"
)

// policyTables is the state set by the decision module's orders: weights, admission and ejections.
type policyTables struct {
	weights    map[policyapi.TableID]map[policyapi.EndpointID]float64
	admissions map[policyapi.TableID]map[policyapi.RequestClass]policyapi.SetAdmission
	ejected    map[policyapi.EndpointID]bool
}

func newPolicyTables() policyTables {
	return policyTables{
		weights:    map[policyapi.TableID]map[policyapi.EndpointID]float64{},
		admissions: map[policyapi.TableID]map[policyapi.RequestClass]policyapi.SetAdmission{},
		ejected:    map[policyapi.EndpointID]bool{},
	}
}

func (p *policyTables) setWeight(o policyapi.SetWeight) {
	if p.weights[o.Table] == nil {
		p.weights[o.Table] = map[policyapi.EndpointID]float64{}
	}
	if o.Weight == 0 {
		delete(p.weights[o.Table], o.Endpoint)
		return
	}
	p.weights[o.Table][o.Endpoint] = o.Weight
}

func (p *policyTables) clear(table policyapi.TableID) {
	delete(p.weights, table)
	delete(p.admissions, table)
}

func (p *policyTables) setAdmission(o policyapi.SetAdmission, classes int) {
	if p.admissions[o.Table] == nil {
		p.admissions[o.Table] = map[policyapi.RequestClass]policyapi.SetAdmission{}
	}
	for class := range classes {
		if inClassSet(o.Classes, class) {
			p.admissions[o.Table][policyapi.RequestClass(class)] = o
		}
	}
}

// inClassSet reports whether a class is in a set of an order. The empty set stands for all classes.
func inClassSet(set policyapi.ClassSet, class int) bool {
	return set == 0 || set&(1<<class) != 0
}

// orderEffects collects the changes by the orders of one step of the decision module.
type orderEffects struct {
	tables      map[policyapi.TableID]bool // tables whose weights or admission were set
	bound       map[policyapi.ProxyID]bool // proxies that were bound to tables
	allGateways bool                       // an order concerns all gateways
	ackID       policyapi.AckID            // of the last RequestAck; routing.NoAckID without one
}

// affects reports whether the orders affect a gateway.
func (e *orderEffects) affects(g *gateway) bool {
	if e.allGateways || e.bound[g.proxy] {
		return true
	}
	return slices.ContainsFunc(g.tables, func(t policyapi.TableID) bool { return e.tables[t] })
}

// applyOrders carries out the decision module's orders and publishes the changes to each gateway. It returns events for the
// module's next step: acknowledgements of gateways that already have what was ordered.
func (c *Core) applyOrders(orders []policyapi.Order) []policyapi.Event {
	effects := orderEffects{tables: map[policyapi.TableID]bool{}, bound: map[policyapi.ProxyID]bool{}, ackID: routing.NoAckID}
	for _, order := range orders {
		c.applyOrder(order, &effects)
	}
	var solved map[policyapi.TableID]bool
	if c.solver != nil && c.solver.pending {
		c.solver.pending = false
		solved = c.solveTables()
	}
	clear(c.clusters)
	for _, table := range slices.Sorted(maps.Keys(union(effects.tables, solved))) {
		if len(c.tables.weights[table]) > 0 {
			c.versions.Put(c.now, table, c.tables.weights[table], c.solverWeightsByClass(table))
		}
	}
	return c.publishChanges(&effects, solved)
}

func (c *Core) applyOrder(order policyapi.Order, effects *orderEffects) {
	switch o := order.(type) {
	case policyapi.Log:
		c.outbox.emit(policyLogEntry(o.Text))
	case policyapi.WatchEndpoints:
		c.outbox.emit(WatchEndpoints{o.Enabled})
	case policyapi.Resync:
		c.outbox.emit(Resync{})
	case policyapi.SetTimer:
		c.timers.set(c.now+o.After, o.Token)
	case policyapi.CheckHealth:
		c.checkHealth(o.Endpoint)
	case policyapi.SetWeight:
		effects.tables[o.Table] = true
		c.tables.setWeight(o)
	case policyapi.ClearTable:
		effects.tables[o.Table] = true
		c.tables.clear(o.Table)
	case policyapi.BindProxy:
		c.bindGateway(o, effects)
	case policyapi.EjectEndpoint:
		c.ejectEndpoint(o, effects)
	case policyapi.SetAdmission:
		if o.Table == policyapi.AllTables {
			effects.allGateways = true
		} else {
			effects.tables[o.Table] = true
		}
		c.tables.setAdmission(o, len(c.settings.Start.Classes))
	case policyapi.RequestAck:
		effects.ackID = o.AckID
		effects.allGateways = effects.allGateways || o.AllProxies
	}
}

func (c *Core) bindGateway(o policyapi.BindProxy, effects *orderEffects) {
	g := c.gateways.byProxy(o.Proxy)
	if g == nil {
		return
	}
	for class := range c.settings.Start.Classes {
		if inClassSet(o.Classes, class) {
			g.tables[class] = o.Table
			effects.bound[o.Proxy] = true
		}
	}
}

func (c *Core) ejectEndpoint(o policyapi.EjectEndpoint, effects *orderEffects) {
	c.tables.ejected[o.Endpoint] = o.Ejected
	for table, weights := range c.tables.weights {
		if _, has := weights[o.Endpoint]; has {
			effects.tables[table] = true
		}
	}
}

// publishChanges publishes to the gateways that are affected by changes of orders, the solver's tables or the endpoint list.
func (c *Core) publishChanges(effects *orderEffects, solved map[policyapi.TableID]bool) (events []policyapi.Event) {
	all := effects.allGateways || c.endpoints.changed || len(effects.tables)+len(solved) > 0
	for _, g := range c.gateways.affected(all, effects.bound) {
		for _, table := range g.tables {
			g.publishPending = g.publishPending || solved[table]
		}
		if c.endpoints.changed && g.listCheckAt == 0 {
			// By then the decision module has nearly always removed draining endpoints from its tables itself.
			g.listCheckAt = c.now + c.settings.Start.Rules.DrainGracePeriod/listCheckDivisor
		}
		if c.publishDue(g, effects) {
			events = append(events, c.publish(g, effects.ackID)...)
		}
		c.updateGateway(g)
	}
	c.endpoints.changed = false
	return events
}

// listCheckDivisor is the divisor of the drain grace period that gives the delay from a change of the endpoint list until
// gateways' documents are checked against it.
const listCheckDivisor = 4

// publishDue reports whether a gateway's snapshot must be offered to it after orders.
func (c *Core) publishDue(g *gateway, effects *orderEffects) bool {
	due := effects.affects(g) || g.publishPending && c.mayPublishUnordered(g) || c.listCheckDue(g) || g.delivery.Invalidated()
	// An expelled gateway may still read its documents, so drains are published to it, too.
	reachable := g.joined || g.connected && c.listCheckDue(g)
	return due && reachable && g.bound()
}
