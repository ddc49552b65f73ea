// Package policy is the decision module of porthub: from load reports, the endpoint list and the state of the proxies'
// streams it decides which endpoints each proxy may use, with what weights, and how many requests it admits.
//
// A host creates an [Instance] with [New], passes each batch of events to [Instance.Step] with the batch's time and
// carries out the orders that Step returns. The types of events and orders are those of package policyapi. An Instance
// shares no state, starts no goroutines and does no I/O. It gets the time only from Step's argument and its random numbers
// only from its start seed, so the same events always result in the same orders. Its methods must not be called
// concurrently.
//
// # Structure
//
// An Instance consists of actors that communicate only by messages in mailboxes (mailbox.go, messages.go):
//
//   - endpointList follows the endpoint list and owns an endpointActor for each endpoint (endpoints.go).
//   - endpointActor evaluates one endpoint (endpoint.go): outlier detection (health.go), capacity and slow start
//     (capacity.go).
//   - proxyRegistry estimates each proxy's demand (demand.go).
//   - planner turns their states into a target state (planner.go): the fleet's capacity (fleet.go), groups of endpoints
//     and proxies (groups.go, rebalance.go), weights (weights.go) and admission (admission.go, classes.go). It also limits
//     what a load report can say (plausibility.go).
//   - channel moves the proxies toward the target state within the limits on lines and messages (channel.go): the
//     order of changes (delivery.go, removal.go), the tables and their differences (replica.go, diff.go), smaller tables
//     for a crowd of new proxies (subset.go), the proxies' streams (streams.go) and the queue (budget.go, window.go).
//
// The loop that delivers the messages is in instance.go. Start reading with planner.plan and channel.deliver.
//
// All times are in microseconds and all rates in requests per second, unless a comment says otherwise.
package policy
