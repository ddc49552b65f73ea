package coordinator

import (
	"slices"

	"porthub/membership"
	"porthub/policyapi"
)

// Package membership decides who belongs to the fleet; here is only what it is told and what becomes of its word.

// FileSource is the name of the node list's file among the sources. It binds: whoever writes it means it.
const FileSource = "file"

// handleFileUpdate hands a list of the file to membership.
func (c *Core) handleFileUpdate(in EndpointUpdate) []policyapi.Event {
	a := membership.SourceUpdate{Source: FileSource}
	seen := map[policyapi.EndpointID]bool{}
	for _, e := range in.Endpoints {
		if seen[e.ID] {
			c.warn("list_twice", "", "%s stands twice: the first one counts", e.ID)
			continue
		}
		if !slices.Contains(c.settings.Start.Zones, e.Zone) {
			c.warn("list_zone", "", "%s is in zone %q, which is not one of %v: left out", e.ID, e.Zone, c.settings.Start.Zones)
			continue
		}
		seen[e.ID] = true
		claim := membership.Observation{Endpoint: e.ID, Zone: e.Zone, Weight: e.Weight, Pod: e.Pod, MachineType: e.MachineType, StartedAt: e.StartedAt}
		switch e.Status {
		case policyapi.Draining:
			claim.Status = membership.OutOfService
		case policyapi.Removed:
			continue
		}
		a.Observations = append(a.Observations, claim)
	}
	c.endpoints.fileVersion = in.Version
	c.members.Apply(c.now, a)
	return c.stepMembership(true)
}

// membershipInterval is how often membership is asked though no source has said anything: holds end, nodes are let in again.
const membershipInterval = second / 4

// stepMembership asks membership and takes its list. A source that answered is a list to the module even if nothing has changed,
// since it may have asked for one.
func (c *Core) stepMembership(answered bool) []policyapi.Event {
	if !answered && c.now-c.membershipStepAt < membershipInterval {
		return nil
	}
	c.membershipStepAt = c.now
	entries, changed, notes := c.members.Step(c.now)
	for _, line := range notes {
		c.emit(LogEntry{Level: LogInfo, Event: "membership", Text: line})
	}
	if !changed && !answered || !c.members.Initialized() {
		return nil
	}
	return c.handleEndpointUpdate(EndpointUpdate{EndpointUpdate: policyapi.EndpointUpdate{Version: max(c.endpoints.fileVersion, c.members.Version()), Kind: policyapi.Snapshot, Endpoints: entries}, decided: true})
}

// DrainNode takes a node out at an operator's word, until UndrainNode takes it back; it survives restarts.
func (c *Core) DrainNode(b policyapi.EndpointID, reason string) error {
	if err := c.members.Drain(c.now, b, reason); err != nil {
		return err
	}
	c.deferred = append(c.deferred, LogEntry{Level: LogWarn, Event: "drained", Endpoint: b, Text: "an operator drains it: " + reason})
	c.membershipStepAt = 0
	return nil
}

// UndrainNode takes an operator's drain back.
func (c *Core) UndrainNode(b policyapi.EndpointID, reason string) error {
	if err := c.members.Undrain(c.now, b); err != nil {
		return err
	}
	c.deferred = append(c.deferred, LogEntry{Level: LogWarn, Event: "undrained", Endpoint: b, Text: "an operator lets it in again: " + reason})
	c.membershipStepAt = 0
	return nil
}

// Members tells what was decided of every node and why.
func (c *Core) Members() []membership.Decision { return c.members.Decisions() }
