package policy_test

import (
	"fmt"

	"porthub/policy"
	"porthub/policyapi"
)

// An instance receives the endpoint list and the connection of a proxy, and returns the orders that set up the proxy's table.
func Example() {
	const second policyapi.Microseconds = 1_000_000
	instance := policy.New(policyapi.Start{
		InstanceCount: 1,
		ProxyCount:    1,
		Zone:          "a",
		Zones:         []policyapi.Zone{"a"},
		Classes:       []policyapi.ClassSettings{{Name: "view", Idempotency: policyapi.Idempotent, LatencyObjective: second, PriorityWeight: 1}},
		Rules:         policyapi.RuleSettings{DrainGracePeriod: 3 * second, QueueLimit: 1000},
		Channel:       policyapi.ChannelSettings{MessageOverhead: 6, EndpointConnections: 1000},
		Reports:       policyapi.ReportSettings{Period: second, MaxLinesPerSecond: 100},
	})
	orders := instance.Step(100*second, []policyapi.Event{
		policyapi.EndpointUpdate{Version: 1, Kind: policyapi.Snapshot, Endpoints: []policyapi.Endpoint{
			{ID: "10.0.0.1:80", Zone: "a", Weight: 1},
			{ID: "10.0.0.2:80", Zone: "a", Weight: 2},
		}},
		policyapi.ProxyConnected{Proxy: 7, Zone: "a", HasDefaultTableOnly: true, Weight: 20},
	})
	for _, order := range orders {
		switch o := order.(type) {
		case policyapi.SetTimer:
			fmt.Printf("timer %d after %d ms\n", o.Token, o.After/1000)
		case policyapi.SetWeight:
			fmt.Printf("table %d: %s has weight %.2f\n", o.Table, o.Endpoint, o.Weight)
		case policyapi.BindProxy:
			fmt.Printf("proxy %d uses table %d\n", o.Proxy, o.Table)
		case policyapi.RequestAck:
			fmt.Printf("acknowledge as %d\n", o.AckID)
		default:
			fmt.Printf("%T\n", o)
		}
	}
	// Output:
	// timer 1 after 1000 ms
	// timer 3 after 750 ms
	// table 0: 10.0.0.2:80 has weight 1.33
	// table 0: 10.0.0.1:80 has weight 0.67
	// proxy 7 uses table 0
	// acknowledge as 1
}
