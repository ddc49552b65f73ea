package policy

import "porthub/policyapi"

// message is what actors send each other. The set is closed: the types of this file.
type message interface{ isMessage() }

type (
	// hostEvent is an event of the host, passed on unchanged.
	hostEvent struct{ event policyapi.Event }

	// pollList requests that the endpoint list is polled.
	pollList struct{}

	// reportRound ends a round of load reports.
	reportRound struct {
		seconds      float64 // since the last round with reports; 0: no report came
		silenceLimit micros  // an endpoint or proxy not reported for longer than this had no attempts
	}

	// batchEnd follows the last event of a batch: the registry publishes, then the planner plans.
	batchEnd struct{}

	// entryUpdate is an endpoint's new entry in the list, for its actor.
	entryUpdate struct{ entry policyapi.Endpoint }

	// endpointDropped drops all state of an endpoint that was removed longer than endpointRetention ago.
	endpointDropped struct{ id policyapi.EndpointID }

	// listConfirmed reports that a list newer than the cached one has arrived.
	listConfirmed struct{}

	// roundClosed makes an endpointActor evaluate its reports, and carries the figures of the fleet that this needs.
	roundClosed struct {
		expectedAttempts []float64 // that its weights should have brought, by zone of the proxies
		failureRate      float64   // fraction of all attempts of the fleet that failed
		seconds          float64   // as in reportRound
		silenceLimit     micros    // as in reportRound
		allReported      bool      // every known proxy is connected: the reports cover all of the load
	}

	// endpointState is an endpointActor's state, for the planner.
	endpointState struct {
		id               policyapi.EndpointID
		entry            policyapi.Endpoint
		zone             int // position in the settings' zones; negative: not one of them
		mailbox          *mailbox
		load             loadEstimate
		learned          capacityEstimate
		ready            bool
		recentlyReported bool
		slowStartFactor  float64 // fraction of its usual load that it may get now
		ejected          []bool  // by zone of the proxies
		urgent           bool    // the change must not wait for the next routine turn
	}

	// demandUpdate is the connected proxies, for the planner.
	demandUpdate struct {
		proxies      []*proxyDemand
		allConnected bool // what is reported covers nearly all of the demand
		urgent       bool
	}

	// targetState is the planner's decision, for the channel: what the proxies should have.
	targetState struct {
		tables      map[groupID][]tablePlan // by class placement; a group that is missing is not planned
		proxyGroups map[policyapi.ProxyID]groupID
		ready       map[policyapi.EndpointID]bool // may be offered; others must leave the tables
		admissions  []policyapi.SetAdmission      // for all tables
		urgent      bool
	}

	// boundGroups is the groups whose tables proxies are bound to, for the planner.
	boundGroups struct{ groups map[groupID]bool }

	// retryDelivery makes the channel attempt pending removals again.
	retryDelivery struct{}
)

func (hostEvent) isMessage()       {}
func (pollList) isMessage()        {}
func (reportRound) isMessage()     {}
func (batchEnd) isMessage()        {}
func (entryUpdate) isMessage()     {}
func (endpointDropped) isMessage() {}
func (listConfirmed) isMessage()   {}
func (roundClosed) isMessage()     {}
func (endpointState) isMessage()   {}
func (demandUpdate) isMessage()    {}
func (targetState) isMessage()     {}
func (boundGroups) isMessage()     {}
func (retryDelivery) isMessage()   {}

// groupID names a group of endpoints. It stays unique when the zones are divided again.
type groupID int

// tablePlan is what a table should contain. A plan without lines means an empty table.
type tablePlan struct {
	lines            []tableLine
	subsetCandidates []tableLine // those of warmed-up endpoints
	level            float64     // requests per second that each proxy may admit of each class
}

// tableLine is the weight of an endpoint in a table, relative to the mean of the fleet.
type tableLine struct {
	endpoint policyapi.EndpointID
	weight   float64
}
