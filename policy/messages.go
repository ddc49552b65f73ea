package policy

import "porthub/policyapi"

// message is the interface of the messages between actors. The set is closed: it consists of the types in this file.
type message interface{ isMessage() }

type (
	// hostEvent is an event of the host, forwarded unchanged.
	hostEvent struct{ event policyapi.Event }

	// pollList requests a poll of the endpoint list.
	pollList struct{}

	// reportRound ends a round of load reports.
	reportRound struct {
		seconds      float64 // time since the last round with reports; 0: no report has arrived
		silenceLimit micros  // an endpoint or proxy that was not reported for longer had no attempts
	}

	// batchEnd follows the last event of a batch: the registry publishes, then the planner plans.
	batchEnd struct{}

	// entryUpdate is an endpoint's new entry in the list, for its actor.
	entryUpdate struct{ entry policyapi.Endpoint }

	// endpointDropped drops all state of an endpoint that was removed more than endpointRetention ago.
	endpointDropped struct{ id policyapi.EndpointID }

	// listConfirmed reports that a list newer than the cached one has arrived.
	listConfirmed struct{}

	// roundClosed makes an endpointActor evaluate its reports and carries the figures of the fleet for the evaluation.
	roundClosed struct {
		expectedAttempts []float64 // attempts according to its weights, by zone of the proxies
		failureRate      float64   // fraction of all attempts of the fleet that failed
		seconds          float64   // as in reportRound
		silenceLimit     micros    // as in reportRound
		allReported      bool      // the reports cover nearly all of the load, as nearly all known proxies are connected
		maxServedRate    float64   // requests per second that the endpoint can have completed
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
		slowStartFactor  float64 // fraction of its usual load that it may get at present
		ejected          []bool  // by zone of the proxies
		urgent           bool    // the change must not wait for the next routine turn
	}

	// demandUpdate is the demand of the connected proxies, for the planner.
	demandUpdate struct {
		proxies      []*proxyDemand
		allConnected bool // the reports cover nearly all of the demand
		urgent       bool
	}

	// targetState is the planner's decision, for the channel: the state that the proxies should have.
	targetState struct {
		tables      map[groupID][]tablePlan // of each group by class placement; a missing group is not planned
		proxyGroups map[policyapi.ProxyID]groupID
		ready       map[policyapi.EndpointID]bool // endpoints that may be in tables; all others must be removed from them
		admissions  []policyapi.SetAdmission      // levels for all tables
		urgent      bool
	}

	// boundGroups contains the groups whose tables proxies are bound to, for the planner.
	boundGroups struct{ groups map[groupID]bool }

	// retryDelivery makes the channel attempt pending changes again.
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

// groupID identifies a group of endpoints. It stays unique when the zones are divided again.
type groupID int

// tablePlan is the planned content of a table. A plan without lines means an empty table.
type tablePlan struct {
	lines            []tableLine
	subsetCandidates []tableLine // the lines of warmed-up endpoints
	level            float64     // most requests per second of each class that each proxy may admit
}

// tableLine is the weight of an endpoint in a table, relative to the mean of the fleet.
type tableLine struct {
	endpoint policyapi.EndpointID
	weight   float64
}
