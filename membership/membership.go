package membership

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"porthub/policyapi"
)

const second policyapi.Microseconds = 1_000_000

// removedLifetime is how long an endpoint that no source lists any more is kept in memory and in Decisions.
const removedLifetime = 3600 * second

// The errors of Drain and Undrain.
var (
	ErrReasonRequired  = errors.New("a drain needs a reason")
	ErrUnknownEndpoint = errors.New("no source names the endpoint")
	ErrNotDrained      = errors.New("no operator has drained the endpoint")
)

// Settings configure a Membership.
type Settings struct {
	Zones []policyapi.Zone
	// Authoritative has the sources whose drops are applied however many endpoints they drop at once: an edit of a file is
	// intended, while a registry may have lost its state.
	Authoritative map[string]bool
	// Sources has the names of the sources in the order of trust, the most trusted first. It decides where sources differ
	// in the zone or weight of an endpoint.
	Sources []string
}

// Membership decides which endpoints belong to the fleet. It is not safe for concurrent use.
type Membership struct {
	settings    Settings
	now         policyapi.Microseconds
	endpoints   map[policyapi.EndpointID]*endpoint
	sources     map[string]*source
	transitions []transition // of the current step
	notes       []string     // lines for the log, added since the last step

	version  policyapi.ListVersion
	lastList []policyapi.Endpoint // the last list that Step returned as changed
	hasList  bool                 // lastList is set
}

// endpoint is the state of one endpoint. Its maps are keyed by the name of the source.
type endpoint struct {
	id policyapi.EndpointID

	observations map[string]Observation            // the last one of each source that lists or has mass-dropped the endpoint
	observedAt   map[string]policyapi.Microseconds // when the source last reported the endpoint
	droppedAt    map[string]policyapi.Microseconds // when the source dropped the endpoint
	massDropped  map[string]bool                   // the source dropped the endpoint in a mass drop
	deregistered map[string]bool                   // the endpoint has canceled its registration at the source
	// registryStarts has start times that result from a restart of the registry and not of the endpoint.
	registryStarts map[string]policyapi.Microseconds

	drainReason string // of the operator's drain; empty if no operator has drained it
	drainedAt   policyapi.Microseconds

	lastAnswer policyapi.Microseconds // when a gateway last reported an answer; 0 if none has
	failing    bool                   // gateways have reported only errors since lastAnswer

	startedAt policyapi.Microseconds
	instance  string
	listed    policyapi.Endpoint

	state  State
	reason string
	since  policyapi.Microseconds

	flaps          float64
	flapsDecayedAt policyapi.Microseconds // start of the current half-life of flaps; after an exclusion, its end
	excludedUntil  policyapi.Microseconds
	exclusions     int // consecutive ones; sets the duration of the next
}

// New returns a Membership without endpoints.
func New(settings Settings) *Membership {
	return &Membership{settings: settings, endpoints: map[policyapi.EndpointID]*endpoint{}, sources: map[string]*source{}}
}

// endpoint returns the endpoint with an id, and adds it if it does not exist.
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
		deregistered:   map[string]bool{},
		registryStarts: map[string]policyapi.Microseconds{},
		state:          Removed,
		since:          m.now,
	}
	m.endpoints[id] = e
	return e
}

// endpointIDs returns the ids of all endpoints, sorted.
func (m *Membership) endpointIDs() []policyapi.EndpointID {
	return slices.Sorted(maps.Keys(m.endpoints))
}

// ReportTraffic records how many of a gateway's requests to an endpoint were answered and how many failed.
func (m *Membership) ReportTraffic(now policyapi.Microseconds, id policyapi.EndpointID, answered, failed int) {
	m.now = max(m.now, now)
	e := m.endpoints[id]
	if e == nil {
		return // no source has listed it
	}
	if answered > 0 {
		e.lastAnswer = m.now
		e.failing = false
		return
	}
	if failed > 0 {
		e.failing = true
	}
}

// isAnswering reports whether an endpoint has recently answered a gateway and has not failed since.
func (m *Membership) isAnswering(e *endpoint) bool {
	return e != nil && e.lastAnswer > 0 && m.now-e.lastAnswer <= answerLifetime && !e.failing
}

// Drain drains an endpoint on behalf of an operator until Undrain is called, whatever the sources report. It returns
// ErrReasonRequired if reason is empty and ErrUnknownEndpoint if the endpoint is unknown.
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

// Drains returns the reasons of operators' drains by endpoint, to be passed to Restore at the next start of the process.
func (m *Membership) Drains() map[policyapi.EndpointID]string {
	drains := map[policyapi.EndpointID]string{}
	for id, e := range m.endpoints {
		if e.drainReason != "" {
			drains[id] = e.drainReason
		}
	}
	return drains
}

// Restore restores operators' drains and the endpoints of the last list with their start times. It adds no observations of
// them: the sources have to report the endpoints again.
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

// Step decides the state of all endpoints. It returns the endpoint list, whether the list differs from the last one, and
// notes for the log. The first list counts as changed once a source has reported successfully.
func (m *Membership) Step(now policyapi.Microseconds) (list []policyapi.Endpoint, changed bool, notes []string) {
	m.now = max(m.now, now)
	for _, id := range m.endpointIDs() {
		m.decide(m.endpoints[id])
	}
	m.noteTransitions()
	m.retainInEmptyZones()
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

// list returns the endpoint list. It deletes endpoints that have been in the state Removed for longer than removedLifetime.
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
			if e.state == Removed && e.drainReason == "" && len(e.observations) == 0 && m.now-e.since > removedLifetime {
				delete(m.endpoints, id)
			}
		}
	}
	return list
}

// Initialized reports whether at least one poll of any source has succeeded.
func (m *Membership) Initialized() bool {
	for _, s := range m.sources {
		if s.initialized {
			return true
		}
	}
	return false
}

// Version returns the version of the list: the number of changed lists that Step has returned.
func (m *Membership) Version() policyapi.ListVersion { return m.version }
