package coordinator

import (
	"slices"

	"porthub/membership"
	"porthub/policyapi"
)

// FileSource is the name of the endpoint list file among the sources of package membership. The file is authoritative: endpoints
// that it drops are removed, however many at once.
const FileSource = "file"

// membershipInterval is the interval at which membership is stepped without updates from sources, since quarantines end and
// endpoints are readmitted as time passes.
const membershipInterval = second / 4

// membershipState connects package membership, which decides which endpoints belong to the fleet, to the core.
type membershipState struct {
	*membership.Membership
	steppedAt microseconds // 0: step it in the next step, regardless of membershipInterval
}

func newMembershipState(settings Settings) membershipState {
	return membershipState{Membership: membership.New(membership.Settings{
		Zones:         settings.Start.Zones,
		Authoritative: map[string]bool{FileSource: true},
		Sources:       append([]string{FileSource}, settings.Sources...),
	})}
}

func (c *Core) handleRegistryUpdate(in RegistryUpdate) []policyapi.Event {
	return c.applySourceUpdate(in.SourceUpdate)
}

// handleFileUpdate passes a complete list from the file to membership.
func (c *Core) handleFileUpdate(in EndpointUpdate) []policyapi.Event {
	update := membership.SourceUpdate{Source: FileSource}
	named := map[policyapi.EndpointID]bool{}
	for _, e := range in.Endpoints {
		if named[e.ID] {
			c.warn(eventEndpointDuplicate, "", "endpoint %s is listed more than once: only the first entry is used", e.ID)
			continue
		}
		if !slices.Contains(c.settings.Start.Zones, e.Zone) {
			c.warn(eventEndpointUnknownZone, "", "endpoint %s is ignored: its zone %q is not one of %v", e.ID, e.Zone, c.settings.Start.Zones)
			continue
		}
		named[e.ID] = true
		if e.Status == policyapi.Removed {
			continue
		}
		observation := membership.Observation{Endpoint: e.ID, Zone: e.Zone, Weight: e.Weight, Pod: e.Pod, MachineType: e.MachineType, StartedAt: e.StartedAt}
		if e.Status == policyapi.Draining {
			observation.Status = membership.OutOfService
		}
		update.Observations = append(update.Observations, observation)
	}
	c.endpoints.fileVersion = in.Version
	return c.applySourceUpdate(update)
}

// applySourceUpdate passes a source's update to membership. The decision module gets the resulting list even if nothing has
// changed, since it may have requested one.
func (c *Core) applySourceUpdate(update membership.SourceUpdate) []policyapi.Event {
	c.membership.Apply(c.now, update)
	entries, _ := c.stepMembership()
	return c.applyMembershipList(entries)
}

// stepMembershipIfDue steps membership if membershipInterval has passed, and applies its list if the list has changed.
func (c *Core) stepMembershipIfDue() []policyapi.Event {
	if c.now-c.membership.steppedAt < membershipInterval {
		return nil
	}
	entries, changed := c.stepMembership()
	if !changed {
		return nil
	}
	return c.applyMembershipList(entries)
}

// stepMembership steps membership, logs its notes, and returns its list and whether the list has changed.
func (c *Core) stepMembership() (entries []policyapi.Endpoint, changed bool) {
	c.membership.steppedAt = c.now
	entries, changed, notes := c.membership.Step(c.now)
	for _, text := range notes {
		c.outbox.emit(LogEntry{Level: LogInfo, Event: eventMembership, Text: text})
	}
	return entries, changed
}

// applyMembershipList applies a list of membership. It does nothing until a source has reported successfully.
func (c *Core) applyMembershipList(entries []policyapi.Endpoint) []policyapi.Event {
	if !c.membership.Initialized() {
		return nil
	}
	version := max(c.endpoints.fileVersion, c.membership.Version())
	return c.handleEndpointUpdate(EndpointUpdate{
		EndpointUpdate: policyapi.EndpointUpdate{Version: version, Kind: policyapi.Snapshot, Endpoints: entries},
		decided:        true,
	})
}

// DrainEndpoint drains an endpoint at an operator's command, until UndrainEndpoint; the drain survives restarts. It returns
// membership.ErrReasonRequired if reason is empty and membership.ErrUnknownEndpoint if no source has named the endpoint.
func (c *Core) DrainEndpoint(endpoint policyapi.EndpointID, reason string) error {
	if err := c.membership.Drain(c.now, endpoint, reason); err != nil {
		return err
	}
	c.outbox.logLater(LogEntry{Level: LogWarn, Event: eventDrained, Endpoint: endpoint, Text: "drained by an operator: " + reason})
	c.membership.steppedAt = 0
	return nil
}

// UndrainEndpoint ends an operator's drain. It returns membership.ErrNotDrained if there is none.
func (c *Core) UndrainEndpoint(endpoint policyapi.EndpointID, reason string) error {
	if err := c.membership.Undrain(c.now, endpoint); err != nil {
		return err
	}
	c.outbox.logLater(LogEntry{Level: LogWarn, Event: eventUndrained, Endpoint: endpoint, Text: "undrained by an operator: " + reason})
	c.membership.steppedAt = 0
	return nil
}

// MembershipDecisions returns the decisions of package membership about all endpoints, with their reasons.
func (c *Core) MembershipDecisions() []membership.Decision { return c.membership.Decisions() }
