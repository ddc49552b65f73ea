package client_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"porthub/client"
	"porthub/config"
	"porthub/daemon"
	"porthub/xds"
)

const exampleEndpoints = `[{"targets": ["127.0.0.1:9001", "127.0.0.1:9002"], "labels": {"zone": "a"}}]`

const exampleConfig = `{
	"coordinator": {"zone": "a"},
	"zones": ["a"],
	"front": {"files": {"dir": %q}},
	"registry": {"file": {"path": %q, "poll": "50ms"}},
	"probes": {"allowed": false},
	"request_kinds": [
		{"name": "view", "repeat": "replayable", "response_target": "750ms", "client_timeout": "2.5s", "payoff": 1},
	],
}`

// startCoordinator starts a coordinator in this process, with all of its files in dir.
func startCoordinator(dir string) (addr, tableDir string, stop func(), err error) {
	listPath := filepath.Join(dir, "endpoints.json")
	if err := os.WriteFile(listPath, []byte(exampleEndpoints), 0o600); err != nil {
		return "", "", nil, err
	}
	tableDir = filepath.Join(dir, "tables")
	cfg, err := config.Parse("example.json", fmt.Appendf(nil, exampleConfig, tableDir, listPath))
	if err != nil {
		return "", "", nil, err
	}
	d, err := daemon.New(daemon.Options{Config: cfg})
	if err != nil {
		return "", "", nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	return d.Addr(), tableDir, func() { cancel(); <-ended }, nil
}

// followTables applies and acknowledges updates until the gateway has endpoints and routes.
func followTables(ctx context.Context, link *client.Link, reader *client.Reader, tables *client.Tables) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	reader.Follow(ctx, 100*time.Millisecond, func(updates []client.Update) {
		for _, update := range updates {
			tables.Apply(update)
			if err := link.Acknowledge(ctx, update, *tables); err != nil {
				fmt.Println(err)
			}
		}
		if tables.EndpointVersion != "" && tables.RouteVersion != "" {
			cancel() // a real gateway continues; the example ends here
		}
	})
}

// A gateway joins a coordinator, applies and acknowledges the tables that it reads from files, and reports its load.
func Example() {
	dir, err := os.MkdirTemp("", "porthub-example")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = os.RemoveAll(dir) }()
	addr, tableDir, stop, err := startCoordinator(dir)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer stop()

	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	link := client.NewLink(client.Options{Node: xds.Node{Name: "gw-7", Zone: "a", UsualRate: 10}, Coordinator: addr})
	defer link.Close()
	var tables client.Tables
	if err := link.Join(ctx, tables); err != nil {
		fmt.Println(err)
		return
	}

	followTables(ctx, link, client.NewReader(tableDir, "gw-7"), &tables)
	for _, cluster := range tables.Snapshot.Clusters {
		for _, endpoint := range cluster.Endpoints {
			fmt.Println(cluster.Class, endpoint.Zone, endpoint.Endpoint)
		}
	}

	interval := time.Second
	report := []xds.ClassReport{{Class: "view", Arrived: 12, Endpoints: []xds.EndpointReport{
		{Address: "127.0.0.1:9001", Zone: "a", Attempts: 12, MeanLatency: 80 * time.Millisecond},
	}}}
	next, err := link.Report(context.Background(), interval, report)
	fmt.Println("next report after", next, err)
	status, err := client.Status(context.Background(), addr)
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, gateway := range status.Gateways {
		fmt.Println(gateway.Gateway, "joined:", gateway.Connected)
	}
	// Output:
	// view a 127.0.0.1:9001
	// view a 127.0.0.1:9002
	// next report after 1s <nil>
	// gw-7 joined: true
}
