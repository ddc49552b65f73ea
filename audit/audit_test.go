package audit

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"porthub/policyapi"
	"porthub/routing"
)

const s = time.Second

// runLength is the length of the runs in the tests.
const runLength = 40 * s

func testLimits() Limits {
	return Limits{EmptyTableLimit: 5 * s, DrainGracePeriod: 3 * s, DrainAppliesToRemoved: true, WarmUp: 17 * s, InitialCapacity: 0.16,
		OverloadFactor: 2.5, OverloadWindow: 2 * s, QueueLimit: 100, MessageOverhead: 6, MessageLimit: 20, MessageWindow: 10 * s,
		Classes: []Class{{Name: "view", Idempotent: true}, {Name: "save"}}}
}

// warmEndpoint returns the list entry of a warmed-up endpoint.
func warmEndpoint(state EndpointState) ListedEndpoint {
	return ListedEndpoint{State: state, StartedAt: -time.Hour, Zone: "a"}
}

// endpointWithoutStart returns a list entry without a start time.
func endpointWithoutStart(state EndpointState) ListedEndpoint { return ListedEndpoint{State: state} }

// startedAt returns the list entry of a ready endpoint that started at the given time.
func startedAt(at time.Duration) ListedEndpoint { return ListedEndpoint{State: Ready, StartedAt: at} }

// normalRun returns the log of a run in which no rule is violated. One gateway is connected from 1 s on. Endpoint n1 is
// warmed up, and endpoint n2 starts at 20 s.
func normalRun() *Log {
	l := NewLog(testLimits())
	l.CoordinatorRunning(0, true)
	l.EndpointStarted(0, "n1", 2, false)
	l.EndpointStarted(20*s, "n2", 2, true)
	l.GatewayConnected(s, "gw", true)
	l.EndpointList(0, map[string]ListedEndpoint{"n1": warmEndpoint(Ready)})
	l.EndpointList(21*s, map[string]ListedEndpoint{"n1": {State: Ready, StartedAt: -time.Hour}, "n2": startedAt(20 * s)})
	l.TableApplied(s, s, "gw", "e.1", tableOf("n1"))
	l.VersionAcknowledged(s+s/10, "gw", "e.1")
	l.TableApplied(22*s, 22*s, "gw", "e.2", tableOf("n1", "n2"))
	l.VersionAcknowledged(22*s+s/10, "gw", "e.2")
	return l
}

// tableOf returns a table with the given endpoints for both classes.
func tableOf(endpoints ...policyapi.EndpointID) routing.Snapshot {
	var table routing.Snapshot
	for _, class := range []string{"view", "save"} {
		cluster := routing.Cluster{Class: class}
		for _, endpoint := range endpoints {
			cluster.Endpoints = append(cluster.Endpoints, routing.ClusterEndpoint{Endpoint: endpoint, Zone: "a", Weight: 1})
		}
		table.Clusters = append(table.Clusters, cluster)
	}
	return table
}

// listN1Draining lists n1 as draining.
func listN1Draining(l *Log, at time.Duration) {
	l.EndpointList(at, map[string]ListedEndpoint{"n1": endpointWithoutStart(Draining), "n2": endpointWithoutStart(Ready)})
}

// evaluationCase adds events to a normal run and states the expected verdict of a rule.
type evaluationCase struct {
	name     string
	rule     string
	violated bool
	usage    float64 // minimum peak usage
	record   func(l *Log)
}

// Each rule must detect its violations and accept runs that stay just within its limit. A normal run violates no rule.
func TestEvaluate(t *testing.T) {
	cases := slices.Concat([]evaluationCase{{"normal run", "", false, 0, func(*Log) {}}},
		emptyTableCases(), duplicateEffectCases(), drainCases(), warmUpCases(), queueCases())
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			l := normalRun()
			test.record(l)
			for rule, verdict := range l.Evaluate(runLength) {
				violated := rule == test.rule && test.violated
				if verdict.Satisfied == violated {
					t.Errorf("rule %s: got verdict %+v, want satisfied %t", rule, verdict, !violated)
				}
				if rule == test.rule && verdict.PeakUsage < test.usage {
					t.Errorf("rule %s: peak usage %.2f, want at least %.2f", rule, verdict.PeakUsage, test.usage)
				}
			}
		})
	}
}

// emptyTableCases returns cases with tables that have no endpoint for a class.
func emptyTableCases() []evaluationCase {
	return []evaluationCase{
		{"no endpoint for a class for too long", EmptyTable, true, 1.5, func(l *Log) {
			l.TableApplied(30*s, 30*s, "gw", "e.3", routing.Snapshot{Clusters: tableOf("n1").Clusters[:1]})
		}},
		{"empty table for a short time", EmptyTable, false, 0.7, func(l *Log) {
			l.TableApplied(30*s, 30*s, "gw", "e.3", tableOf())
			l.TableApplied(34*s, 34*s, "gw", "e.4", tableOf("n1"))
		}},
		{"empty table while disconnected", EmptyTable, false, 0, func(l *Log) {
			l.GatewayConnected(30*s, "gw", false)
			l.TableApplied(30*s, 30*s, "gw", "", tableOf())
		}},
		{"empty table with no warm endpoint listed", EmptyTable, false, 0, func(l *Log) {
			l.EndpointList(30*s, map[string]ListedEndpoint{"n1": endpointWithoutStart(Draining), "n2": startedAt(29 * s)})
			l.TableApplied(30*s, 30*s, "gw", "e.3", tableOf())
		}},
	}
}

// duplicateEffectCases returns cases with requests that are executed more than once.
func duplicateEffectCases() []evaluationCase {
	return []evaluationCase{
		{"executed twice in one attempt", DuplicateEffect, true, 2, func(l *Log) {
			l.RequestExecuted("save", 1, 0)
			l.RequestExecuted("save", 1, 0)
		}},
		{"executed again on the client's retry", DuplicateEffect, false, 0, func(l *Log) {
			l.RequestExecuted("save", 1, 0)
			l.RequestExecuted("save", 1, 1)
		}},
		{"idempotent request executed twice", DuplicateEffect, false, 0, func(l *Log) {
			l.RequestExecuted("view", 1, 0)
			l.RequestExecuted("view", 1, 0)
		}},
	}
}

// drainCases returns cases with requests to draining or removed endpoints.
func drainCases() []evaluationCase {
	return []evaluationCase{
		{"sent after the grace period", Drain, true, 1.2, func(l *Log) {
			listN1Draining(l, 30*s)
			l.RequestSent(34*s, "gw", "n1")
		}},
		{"sent after removal from the list", Drain, true, 1.2, func(l *Log) {
			l.EndpointList(30*s, map[string]ListedEndpoint{"n2": endpointWithoutStart(Ready)})
			l.RequestSent(34*s, "gw", "n1")
		}},
		{"sent within the grace period", Drain, false, 0.6, func(l *Log) {
			listN1Draining(l, 30*s)
			l.RequestSent(32*s, "gw", "n1")
		}},
		{"sent soon after connecting", Drain, false, 0.3, func(l *Log) {
			listN1Draining(l, 30*s)
			l.GatewayConnected(31*s, "gw", false)
			l.GatewayConnected(35*s, "gw", true)
			l.RequestSent(34*s, "gw", "n1")
			l.RequestSent(36*s, "gw", "n1")
		}},
		{"sent while no coordinator is running", Drain, false, 0, func(l *Log) {
			l.CoordinatorRunning(29*s, false)
			listN1Draining(l, 30*s)
			l.RequestSent(36*s, "gw", "n1")
		}},
		{"sent to an endpoint that is ready again", Drain, false, 0, func(l *Log) {
			listN1Draining(l, 30*s)
			l.EndpointList(33*s, map[string]ListedEndpoint{"n1": endpointWithoutStart(Ready), "n2": endpointWithoutStart(Ready)})
			l.RequestSent(36*s, "gw", "n1")
		}},
	}
}

// warmUpCases returns cases with load on the endpoint that starts at 20 s.
func warmUpCases() []evaluationCase {
	return []evaluationCase{
		{"endpoint overloaded while warming up", WarmUp, true, 1.4, func(l *Log) { sendBurst(l, 23*s, 40) }},
		{"short heavy burst", WarmUp, true, 1.1, func(l *Log) {
			for range 30 {
				l.WorkArrived(23*s, "n2", "gw", 0.16)
			}
		}},
		{"endpoint busy while warming up", WarmUp, false, 0.5, func(l *Log) { sendBurst(l, 23*s, 13) }},
		{"same load on the warm endpoint", WarmUp, false, 0, func(l *Log) { sendBurst(l, 38*s, 40) }},
		{"overloaded by a gateway that was not informed of the start", WarmUp, false, 0, func(l *Log) { sendBurst(l, 20*s+s/10, 12) }},
	}
}

// queueCases returns cases with messages and lines in flight to gateways.
func queueCases() []evaluationCase {
	return []evaluationCase{
		{"too many messages", Queue, true, 1.05, func(l *Log) { sendMessages(l, 22) }},
		{"as many messages as allowed", Queue, false, 0.9, func(l *Log) { sendMessages(l, 18) }},
		{"replaced messages count", Queue, true, 1.05, func(l *Log) { l.TableApplied(23*s, 23*s, "gw", "e.40", tableOf("n1")) }},
		{"too many lines in flight", Queue, true, 1.1, func(l *Log) { publishWideTable(l, 60) }},
		{"lines in flight within the limit", Queue, false, 0.5, func(l *Log) { publishWideTable(l, 30) }},
	}
}

// sendBurst records n requests that arrive at the endpoint that starts at 20 s, at a rate of 20 per second.
func sendBurst(l *Log, at time.Duration, n int) {
	for i := range n {
		l.WorkArrived(at+time.Duration(i)*s/20, "n2", "gw", 0.16)
	}
}

// sendMessages records n messages to the gateway, at a rate of four per second.
func sendMessages(l *Log, n int) {
	for i := range n {
		at := 24*s + time.Duration(i)*s/4
		version := fmt.Sprintf("e.%d", 3+i)
		l.TableApplied(at, at, "gw", version, tableOf("n1", "n2"))
		l.VersionAcknowledged(at+s/20, "gw", version)
	}
}

// publishWideTable records that two gateways get a table with n lines for one class and acknowledge it after a delay.
func publishWideTable(l *Log, n int) {
	var endpoints []policyapi.EndpointID
	for i := range n {
		endpoints = append(endpoints, policyapi.EndpointID(fmt.Sprintf("m%d", i)))
	}
	table := tableOf(endpoints...)
	table.Clusters[1] = tableOf("n1", "n2").Clusters[1]
	for i := range 2 { // the second gateway acknowledges sooner
		gateway := fmt.Sprintf("gw%d", i)
		l.GatewayConnected(0, gateway, true)
		l.TableApplied(25*s, 25*s, gateway, "e.1", table)
		l.VersionAcknowledged(25*s+s/2*time.Duration(2-i), gateway, "e.1")
	}
}
