package coordinator

import (
	"fmt"

	"porthub/policyapi"
	"porthub/routing"
	"porthub/solver"
)

// How many versions of a table are kept, and for how long.
const (
	keepVersions = 64
	keepFor      = 3600 * second
)

// Pin holds tables at an earlier state; it is in force from the next step on. A pin without a version or time holds
// what is in force now.
func (c *Core) Pin(p routing.Pin) (routing.Pin, error) {
	if p.Version == 0 && p.At == 0 {
		p.At = c.now
	}
	held, err := c.book.Pin(c.now, p)
	if err == nil {
		c.repinned(LogEntry{Level: LogWarn, Event: "pinned", Text: fmt.Sprintf("%s: %s (pin %d): %s", held.Scope, where(held), held.ID, held.Reason)})
	}
	return held, err
}

// Unpin lets a pin go.
func (c *Core) Unpin(id int, reason string) (routing.Pin, error) {
	p, err := c.book.Unpin(id)
	if err == nil {
		c.repinned(LogEntry{Level: LogWarn, Event: "unpinned", Text: fmt.Sprintf("%s (pin %d): %s", p.Scope, p.ID, reason)})
	}
	return p, err
}

func where(p routing.Pin) string {
	if p.Version > 0 {
		return fmt.Sprintf("version %d", p.Version)
	}
	return fmt.Sprintf("as at %d us", p.At)
}

// repinned has all gateways' documents held against the pins.
func (c *Core) repinned(n LogEntry) {
	c.later = append(c.later, n)
	for _, g := range c.gateways {
		g.owed = true
		c.watch(g)
	}
}

// inForce is what a gateway is to hold of a table for a kind, with the pins and the rules' mask over it.
func (c *Core) inForce(g *gateway, table policyapi.TableID, kind int, w map[policyapi.EndpointID]float64) map[policyapi.EndpointID]float64 {
	if len(c.book.Pins()) == 0 {
		return w
	}
	held, pin, overruled := c.book.Effective(table, policyapi.RequestClass(kind), g.zone, w, func(b policyapi.EndpointID) routing.EndpointEligibility {
		return c.standing(b, kind, w)
	})
	if overruled != "" {
		c.complain("pin_overruled", "", "pin %d: %s", pin.ID, overruled)
	}
	return held
}

// standing is what the rules say of a backend now, whatever old weights say.
func (c *Core) standing(b policyapi.EndpointID, kind int, w map[policyapi.EndpointID]float64) routing.EndpointEligibility {
	e, known := c.list.entries[b]
	closed := !known || e.Status != policyapi.Ready || c.withdrawn[b]
	if c.solving != nil && c.solving.judge.Status(b, kind) != solver.ClassHealthy {
		closed = true
	}
	return routing.EndpointEligibility{Closed: closed, Weight: w[b], WarmingUp: known && c.warmth(e) < 1}
}

// VersionStore is the versions and pins of all tables; it must not be changed.
func (c *Core) Versions() *routing.VersionStore { return c.book }
