package coordinator

import (
	"fmt"

	"porthub/policyapi"
	"porthub/routing"
	"porthub/solver"
)

// How many versions of a table are kept, and for how long.
const (
	maxVersions   = 64
	maxVersionAge = 3600 * second
)

// Pin holds tables at an earlier state; it is in force from the next step on. A pin without a version or time holds
// what is in force now.
func (c *Core) Pin(p routing.Pin) (routing.Pin, error) {
	if p.Version == 0 && p.At == 0 {
		p.At = c.now
	}
	held, err := c.versions.Pin(c.now, p)
	if err == nil {
		c.applyPins(LogEntry{Level: LogWarn, Event: "pinned", Text: fmt.Sprintf("%s: %s (pin %d): %s", held.Scope, pinTarget(held), held.ID, held.Reason)})
	}
	return held, err
}

// Unpin lets a pin go.
func (c *Core) Unpin(id int, reason string) (routing.Pin, error) {
	p, err := c.versions.Unpin(id)
	if err == nil {
		c.applyPins(LogEntry{Level: LogWarn, Event: "unpinned", Text: fmt.Sprintf("%s (pin %d): %s", p.Scope, p.ID, reason)})
	}
	return p, err
}

func pinTarget(p routing.Pin) string {
	if p.Version > 0 {
		return fmt.Sprintf("version %d", p.Version)
	}
	return fmt.Sprintf("as at %d us", p.At)
}

// applyPins has all gateways' documents held against the pins.
func (c *Core) applyPins(n LogEntry) {
	c.deferred = append(c.deferred, n)
	for _, g := range c.gateways {
		g.publishPending = true
		c.updateGateway(g)
	}
}

// effectiveWeights is what a gateway is to hold of a table for a kind, with the pins and the rules' mask over it.
func (c *Core) effectiveWeights(g *gateway, table policyapi.TableID, kind int, w map[policyapi.EndpointID]float64) map[policyapi.EndpointID]float64 {
	if len(c.versions.Pins()) == 0 {
		return w
	}
	held, pin, overruled := c.versions.Effective(table, policyapi.RequestClass(kind), g.zone, w, func(b policyapi.EndpointID) routing.EndpointEligibility {
		return c.eligibility(b, kind, w)
	})
	if overruled != "" {
		c.warn("pin_overruled", "", "pin %d: %s", pin.ID, overruled)
	}
	return held
}

// eligibility is what the rules say of a backend now, whatever old weights say.
func (c *Core) eligibility(b policyapi.EndpointID, kind int, w map[policyapi.EndpointID]float64) routing.EndpointEligibility {
	e, known := c.endpoints.entries[b]
	closed := !known || e.Status != policyapi.Ready || c.ejected[b]
	if c.solver != nil && c.solver.health.Status(b, kind) != solver.ClassHealthy {
		closed = true
	}
	return routing.EndpointEligibility{Closed: closed, Weight: w[b], WarmingUp: known && c.warmUpProgress(e) < 1}
}

// VersionStore is the versions and pins of all tables; it must not be changed.
func (c *Core) Versions() *routing.VersionStore { return c.versions }
