package coordinator

import (
	"fmt"

	"porthub/policyapi"
	"porthub/routing"
)

// Limits on the number and age of the stored versions of a table.
const (
	maxVersions   = 64
	maxVersionAge = 3600 * second
)

// Pin fixes tables at an earlier version; it takes effect with the next step. A pin without a version or time fixes the
// versions in effect now. Its error wraps routing.ErrReasonRequired or routing.ErrUnknownVersion.
func (c *Core) Pin(pin routing.Pin) (routing.Pin, error) {
	if pin.Version == 0 && pin.At == 0 {
		pin.At = c.now
	}
	set, err := c.versions.Pin(c.now, pin)
	if err != nil {
		return set, err
	}
	c.pinsChanged(eventPinned, fmt.Sprintf("%s: %s (pin %d): %s", set.Scope, pinTarget(set), set.ID, set.Reason))
	return set, nil
}

// Unpin removes a pin. Its error wraps routing.ErrUnknownPin if there is no pin with that ID.
func (c *Core) Unpin(id int, reason string) (routing.Pin, error) {
	pin, err := c.versions.Unpin(id)
	if err != nil {
		return pin, err
	}
	c.pinsChanged(eventUnpinned, fmt.Sprintf("%s (pin %d): %s", pin.Scope, pin.ID, reason))
	return pin, nil
}

// Versions returns the versions and pins of all tables; the caller must not change it.
func (c *Core) Versions() *routing.VersionStore { return c.versions }

func pinTarget(pin routing.Pin) string {
	if pin.Version > 0 {
		return fmt.Sprintf("version %d", pin.Version)
	}
	return fmt.Sprintf("state at %d us", pin.At)
}

// pinsChanged logs a change of the pins and marks the snapshots of all gateways to be offered again.
func (c *Core) pinsChanged(event, text string) {
	c.outbox.logLater(LogEntry{Level: LogWarn, Event: event, Text: text})
	c.markPending(func(*gateway) bool { return true })
}

// effectiveWeights returns the weights of a table for a class at a gateway after pins are applied.
func (c *Core) effectiveWeights(g *gateway, table policyapi.TableID, class int, weights map[policyapi.EndpointID]float64) map[policyapi.EndpointID]float64 {
	if len(c.versions.Pins()) == 0 {
		return weights
	}
	eligible := func(endpoint policyapi.EndpointID) routing.EndpointEligibility {
		return c.eligibility(endpoint, class, weights)
	}
	effective, pin, overruled := c.versions.Effective(table, policyapi.RequestClass(class), g.zone, weights, eligible)
	if overruled != "" {
		c.warn(eventPinOverruled, "", "pin %d: %s", pin.ID, overruled)
	}
	return effective
}

// eligibility returns what the rules currently allow for an endpoint, regardless of pinned weights.
func (c *Core) eligibility(endpoint policyapi.EndpointID, class int, weights map[policyapi.EndpointID]float64) routing.EndpointEligibility {
	entry, ok := c.endpoints.entries[endpoint]
	closed := !ok || entry.Status != policyapi.Ready || c.tables.ejected[endpoint] || !c.classHealthy(endpoint, class)
	return routing.EndpointEligibility{
		Closed:    closed,
		Weight:    weights[endpoint],
		WarmingUp: ok && c.warmUpProgress(entry) < 1,
	}
}
