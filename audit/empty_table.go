package audit

import (
	"maps"
	"slices"
	"time"
)

// evaluateEmptyTables checks how long a connected gateway has no endpoint for a class while the list contains a ready,
// warmed-up endpoint that can serve the class.
func (l *Log) evaluateEmptyTables(end time.Duration) Verdict {
	worst := &peak{}
	for _, name := range slices.Sorted(maps.Keys(l.gateways)) {
		g := l.gateways[name]
		changes := l.tableChanges(g)
		for _, connection := range g.connection(l, end) {
			for _, class := range l.limits.Classes {
				check := emptyTableCheck{limit: l.limits.EmptyTableLimit, gateway: name, class: class.Name, worst: worst}
				observe := func(at time.Duration) {
					endpoints, known := g.endpointsAt(class.Name, at)
					check.observe(at, known && endpoints == 0 && l.canBeServed(class, at))
				}
				observe(connection.from)
				for _, at := range changes {
					if at > connection.from && at < connection.to {
						observe(at)
					}
				}
				observe(connection.to)
			}
		}
	}
	return worst.verdict()
}

// emptyTableCheck tracks the table of a gateway for one class.
type emptyTableCheck struct {
	limit   time.Duration
	gateway string
	class   string
	worst   *peak

	empty bool
	since time.Duration // start of the empty period, if empty is set
}

// observe records whether the table is empty from the given time on.
func (c *emptyTableCheck) observe(at time.Duration, empty bool) {
	if empty && !c.empty {
		c.since = at
	}
	if empty || c.empty { // includes an empty period that ends now
		c.worst.raise(float64(at-c.since)/float64(c.limit), func() string {
			return c.gateway + " had no endpoint for class " + c.class + " from " + formatDuration(c.since)
		})
	}
	c.empty = empty
}

// tableChanges returns the sorted times at which the gateway's table or the list changed. The result of the rule can change
// only at these times.
func (l *Log) tableChanges(g *gatewayLog) []time.Duration {
	var times []time.Duration
	for _, table := range g.tables {
		times = append(times, table.at)
	}
	for _, list := range l.lists {
		times = append(times, list.at)
	}
	slices.Sort(times)
	return times
}

// endpointsAt returns the number of endpoints to which the gateway could send requests of a class. The result known is false
// before its first table.
func (g *gatewayLog) endpointsAt(class string, at time.Duration) (count int, known bool) {
	for _, table := range g.tables {
		if table.at > at {
			break
		}
		count = table.endpoints[class]
		known = true
	}
	return count, known
}

// canBeServed reports whether the list contains a ready, warmed-up endpoint that can serve a class.
func (l *Log) canBeServed(class Class, at time.Duration) bool {
	list := l.listAt(at)
	if list == nil {
		return false
	}
	for _, endpoint := range list.endpoints {
		warm := at-endpoint.StartedAt >= l.limits.WarmUp
		allowed := len(class.Zones) == 0 || slices.Contains(class.Zones, endpoint.Zone)
		if endpoint.State == Ready && warm && allowed {
			return true
		}
	}
	return false
}
