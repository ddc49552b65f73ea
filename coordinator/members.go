package coordinator

import (
	"slices"

	"porthub/membership"
	"porthub/policyapi"
)

// Package membership decides who belongs to the fleet; here is only what it is told and what becomes of its word.

// FileSource is the name of the node list's file among the sources. It binds: whoever writes it means it.
const FileSource = "file"

// file hands a list of the file to membership.
func (c *Core) file(in EndpointUpdate) []policyapi.Event {
	a := membership.SourceUpdate{Source: FileSource}
	seen := map[policyapi.EndpointID]bool{}
	for _, e := range in.Endpoints {
		if seen[e.ID] {
			c.complain("list_twice", "", "%s stands twice: the first one counts", e.ID)
			continue
		}
		if !slices.Contains(c.set.Start.Zones, e.Zone) {
			c.complain("list_zone", "", "%s is in zone %q, which is not one of %v: left out", e.ID, e.Zone, c.set.Start.Zones)
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
	c.list.fileVersion = in.Version
	c.members.Apply(c.now, a)
	return c.settle(true)
}

// settleEvery is how often membership is asked though no source has said anything: holds end, nodes are let in again.
const settleEvery = second / 4

// settle asks membership and takes its list. A source that answered is a list to the module even if nothing has changed,
// since it may have asked for one.
func (c *Core) settle(answered bool) []policyapi.Event {
	if !answered && c.now-c.settled < settleEvery {
		return nil
	}
	c.settled = c.now
	entries, changed, notes := c.members.Step(c.now)
	for _, line := range notes {
		c.out(LogEntry{Level: LogInfo, Event: "membership", Text: line})
	}
	if !changed && !answered || !c.members.Initialized() {
		return nil
	}
	return c.listed(EndpointUpdate{EndpointUpdate: policyapi.EndpointUpdate{Version: max(c.list.fileVersion, c.members.Version()), Kind: policyapi.Snapshot, Endpoints: entries}, decided: true})
}

// DrainNode takes a node out at an operator's word, until UndrainNode takes it back; it survives restarts.
func (c *Core) DrainNode(b policyapi.EndpointID, reason string) error {
	if err := c.members.Drain(c.now, b, reason); err != nil {
		return err
	}
	c.later = append(c.later, LogEntry{Level: LogWarn, Event: "drained", Endpoint: b, Text: "an operator drains it: " + reason})
	c.settled = 0
	return nil
}

// UndrainNode takes an operator's drain back.
func (c *Core) UndrainNode(b policyapi.EndpointID, reason string) error {
	if err := c.members.Undrain(c.now, b); err != nil {
		return err
	}
	c.later = append(c.later, LogEntry{Level: LogWarn, Event: "undrained", Endpoint: b, Text: "an operator lets it in again: " + reason})
	c.settled = 0
	return nil
}

// Members tells what was decided of every node and why.
func (c *Core) Members() []membership.Decision { return c.members.Decisions() }
