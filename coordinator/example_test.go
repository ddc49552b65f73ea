package coordinator_test

import (
	"fmt"

	"porthub/coordinator"
	"porthub/policyapi"
)

const second policyapi.Microseconds = 1_000_000

// settings returns the settings of a deployment with one zone, one request class and one gateway.
func settings() coordinator.Settings {
	return coordinator.Settings{
		Epoch:          "start-1",
		SilenceTimeout: 10 * second,
		Start: policyapi.Start{
			Seed: 1, InstanceCount: 1, Zone: "east", Zones: []policyapi.Zone{"east"}, ProxyCount: 1, PollsList: true,
			Classes: []policyapi.ClassSettings{{Name: "api", LatencyObjective: second / 2, ClientTimeout: 2 * second, PriorityWeight: 1}},
			Rules: policyapi.RuleSettings{EmptyTableLimit: 5 * second, DrainGracePeriod: 3 * second, WarmUp: 15 * second, InitialCapacity: 0.2,
				OverloadFactor: 2.5, OverloadWindow: 2 * second, QueueLimit: 1000, MessageLimit: 20, MessageWindow: 10 * second},
			Channel: policyapi.ChannelSettings{LinesPerSecond: 1000, MessageOverhead: 6, Latency: second / 10, MaxLatency: second / 3, EndpointConnections: 100},
			Reports: policyapi.ReportSettings{Period: second, MaxLinesPerSecond: 1000},
		},
	}
}

// The caller passes inputs with their time, carries out the outputs, and calls Step again by the next deadline.
func ExampleCore_Step() {
	core := coordinator.New(settings())
	now := 1000 * second
	show := func(outputs []coordinator.Output) (acks []coordinator.Input) {
		for _, output := range outputs {
			switch o := output.(type) {
			case coordinator.WatchEndpoints:
				fmt.Println("watch the endpoint list:", o.Enabled)
			case coordinator.SaveList:
				fmt.Println("save a list of", len(o.List.Endpoints))
			case coordinator.Publish:
				fmt.Println("publish", o.Version, "to", o.Gateway)
				for _, cluster := range o.Snapshot.Clusters {
					for _, e := range cluster.Endpoints {
						fmt.Printf("  %s: %s weight %.0f withheld %t\n", cluster.Class, e.Endpoint, e.Weight, e.Withheld)
					}
				}
				for _, d := range []coordinator.Document{coordinator.EndpointsDocument, coordinator.RoutesDocument} {
					acks = append(acks, coordinator.DocumentAck{Gateway: o.Gateway, Conn: 1, Document: d, Version: o.Version, Nonce: o.Nonce})
				}
			}
		}
		return acks
	}
	show(core.Step(now, nil))

	list := policyapi.EndpointUpdate{Version: 1, Kind: policyapi.Snapshot, Endpoints: []policyapi.Endpoint{
		{ID: "10.0.0.1:80", Zone: "east", Weight: 1}, {ID: "10.0.0.2:80", Zone: "east", Weight: 1}}}
	show(core.Step(now, []coordinator.Input{coordinator.EndpointUpdate{EndpointUpdate: list}}))

	acks := show(core.Step(now, []coordinator.Input{coordinator.GatewayConnected{Gateway: "gw", Conn: 1, Zone: "east"}}))
	for len(acks) == 0 {
		now = core.NextDeadline()
		acks = show(core.Step(now, nil))
	}
	show(core.Step(now, acks))
	gateway := core.Status().Gateways[0]
	fmt.Println("confirmed:", gateway.Confirmed, "in flight:", gateway.Unacknowledged)
	// Output:
	// watch the endpoint list: true
	// save a list of 2
	// publish start-1.1 to gw
	//   api: 10.0.0.1:80 weight 1 withheld false
	//   api: 10.0.0.2:80 weight 1 withheld false
	// confirmed: [start-1.1 start-1.1] in flight: 0
}
