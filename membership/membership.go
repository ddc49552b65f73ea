package membership

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"porthub/policyapi"
)

const second policyapi.Microseconds = 1_000_000

// forgetAfter is how long an endpoint that no source names stays in memory and in Decisions.
const forgetAfter = 3600 * second

// The errors of Drain and Undrain.
var (
	ErrReasonRequired  = errors.New("a drain needs a reason")
	ErrUnknownEndpoint = errors.New("no source names the endpoint")
	ErrNotDrained      = errors.New("no operator has drained the endpoint")
)

// Settings are the settings of a Membership.
type Settings struct {
	Zones []policyapi.Zone
	// Authoritative sources are followed when they drop endpoints, however many at once: whoever edits a file means it,
	// while a registry may have lost its state.
	Authoritative map[string]bool
	// Sources is the order of trust where sources differ in the zone or weight of an endpoint, the most trusted first.
	Sources []string
}

// Membership decides which endpoints belong to the fleet. It is not safe for concurrent use.
type Membership struct {
	settings    Settings
	now         policyapi.Microseconds
	endpoints   map[policyapi.EndpointID]*endpoint
	sources     map[string]*source
	transitions []transition // of this step
	notes       []string     // for the log, since the last step

	version  policyapi.ListVersion
	lastList []policyapi.Endpoint
	hasList  bool // a list has been returned
}

// endpoint is the state of one endpoint. Maps are by source.
type endpoint struct {
	id policyapi.EndpointID

	observations map[string]Observation            // last one of each source that names it, or has mass-dropped it
	observedAt   map[string]policyapi.Microseconds // when it was last observed
	droppedAt    map[string]policyapi.Microseconds // when the source dropped it
	massDropped  map[string]bool                   // the source dropped it together with many others
	// registryStarts holds start times that come from a restart of the registry, not of the endpoint.
	registryStarts map[string]policyapi.Microseconds

	drainReason string // an operator's; empty: not drained by an operator
	drainedAt   policyapi.Microseconds

	lastAnswer policyapi.Microseconds // to a gateway
	failing    bool                   // nothing but errors since lastAnswer

	startedAt policyapi.Microseconds
	instance  string
	listed    policyapi.Endpoint

	state  State
	reason string
	since  policyapi.Microseconds

	flaps          float64
	flapsDecayedAt policyapi.Microseconds // when flaps was last halved
	excludedUntil  policyapi.Microseconds
	exclusions     int // in a row
}

// New returns a Membership that no source has reported to yet.
func New(settings Settings) *Membership {
	return &Membership{settings: settings, endpoints: map[policyapi.EndpointID]*endpoint{}, sources: map[string]*source{}}
}

// endpoint returns the endpoint with an id, adding it if it is new.
func (m *Membership) endpoint(id policyapi.EndpointID) *endpoint {
	if e := m.endpoints[id]; e != nil {
		return e
	}
	e := &endpoint{
		id:             id,
		observations:   map[string]Observation{},
		observedAt:     map[string]policyapi.Microseconds{},
		droppedAt:      map[string]policyapi.Microseconds{},
		massDropped:    map[string]bool{},
		registryStarts: map[string]policyapi.Microseconds{},
		state:          Removed,
		since:          m.now,
	}
	m.endpoints[id] = e
	return e
}

// endpointIDs returns the ids of all endpoints in order.
func (m *Membership) endpointIDs() []policyapi.EndpointID {
	return slices.Sorted(maps.Keys(m.endpoints))
}

// ReportTraffic records that an endpoint answered done requests of gateways and failed the others.
func (m *Membership) ReportTraffic(now policyapi.Microseconds, id policyapi.EndpointID, done, failed int) {
	m.now = max(m.now, now)
	e := m.endpoints[id]
	if e == nil {
		return // no source has named it
	}
	if done > 0 {
		e.lastAnswer = m.now
		e.failing = false
		return
	}
	if failed > 0 {
		e.failing = true
	}
}

// answers reports whether an endpoint has recently answered a gateway and has not failed since.
func (m *Membership) answers(e *endpoint) bool {
	return e != nil && e.lastAnswer > 0 && m.now-e.lastAnswer <= answerLifetime && !e.failing
}

// Drain drains an endpoint on behalf of an operator until Undrain, whatever sources report. It returns ErrReasonRequired
// if reason is empty and ErrUnknownEndpoint if no source has named the endpoint.
func (m *Membership) Drain(now policyapi.Microseconds, id policyapi.EndpointID, reason string) error {
	m.now = max(m.now, now)
	if reason == "" {
		return fmt.Errorf("%w: %s", ErrReasonRequired, id)
	}
	e := m.endpoints[id]
	if e == nil {
		return fmt.Errorf("%w: %s", ErrUnknownEndpoint, id)
	}
	if e.drainReason == "" {
		e.drainedAt = m.now
	}
	e.drainReason = reason
	return nil
}

// Undrain ends an operator's drain. It returns ErrNotDrained if there is none.
func (m *Membership) Undrain(now policyapi.Microseconds, id policyapi.EndpointID) error {
	m.now = max(m.now, now)
	e := m.endpoints[id]
	if e == nil || e.drainReason == "" {
		return fmt.Errorf("%w: %s", ErrNotDrained, id)
	}
	e.drainReason = ""
	return nil
}

// Drains returns the reasons of operators' drains, for the next start of the process.
func (m *Membership) Drains() map[policyapi.EndpointID]string {
	drains := map[policyapi.EndpointID]string{}
	for id, e := range m.endpoints {
		if e.drainReason != "" {
			drains[id] = e.drainReason
		}
	}
	return drains
}

// Restore restores operators' drains and the endpoints of the last list with their start times. No source counts as
// having observed them.
func (m *Membership) Restore(now policyapi.Microseconds, drains map[policyapi.EndpointID]string, list []policyapi.Endpoint) {
	m.now = max(m.now, now)
	for _, listed := range list {
		e := m.endpoint(listed.ID)
		e.listed = listed
		e.startedAt = listed.StartedAt
	}
	for _, id := range slices.Sorted(maps.Keys(drains)) {
		e := m.endpoint(id)
		e.drainReason = drains[id]
		e.drainedAt = m.now
	}
}

// Step decides about all endpoints. It returns the endpoint list, whether it differs from the last one, and notes for
// the log. The first list counts as changed once a source has reported.
func (m *Membership) Step(now policyapi.Microseconds) (list []policyapi.Endpoint, changed bool, notes []string) {
	m.now = max(m.now, now)
	for _, id := range m.endpointIDs() {
		m.decide(m.endpoints[id])
	}
	m.noteTransitions()
	m.retainLastOfZones()
	list = m.list()
	if m.hasList {
		changed = !slices.Equal(list, m.lastList)
	} else {
		changed = m.Initialized()
	}
	if changed {
		m.lastList = list
		m.hasList = true
		m.version++
	}
	notes = m.notes
	m.notes = nil
	return list, changed, notes
}

// list returns the endpoint list and forgets endpoints that have been removed for long.
func (m *Membership) list() (list []policyapi.Endpoint) {
	for _, id := range m.endpointIDs() {
		e := m.endpoints[id]
		switch e.state {
		case Ready, Retained:
			e.listed.Status = policyapi.Ready
			list = append(list, e.listed)
		case Draining:
			e.listed.Status = policyapi.Draining
			list = append(list, e.listed)
		default:
			if e.state == Removed && e.drainReason == "" && len(e.observations) == 0 && m.now-e.since > forgetAfter {
				delete(m.endpoints, id)
			}
		}
	}
	return list
}

// Initialized reports whether any source has ever reported successfully.
func (m *Membership) Initialized() bool {
	for _, s := range m.sources {
		if s.initialized {
			return true
		}
	}
	return false
}

// Version returns the number of lists that differed from the one before.
func (m *Membership) Version() policyapi.ListVersion { return m.version }
