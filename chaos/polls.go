package chaos

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"

	"porthub/audit"
	"porthub/config"
	"porthub/emulator"
	"porthub/xds"
)

// PollResult is the outcome of [RunPolls].
type PollResult struct {
	Gateways  int `json:"gateways"`
	Endpoints int `json:"nodes"`
	Polls     int `json:"polls"` // two for each gateway, a connection each
	// ConnectSeconds is how long it took until every gateway had its tables.
	ConnectSeconds float64 `json:"joined_s"`
	// KiBPerPoll is the coordinator's memory for each waiting poll, in KiB: its growth from before the first until all wait.
	KiBPerPoll float64 `json:"kib_per_poll"`
	// AffectedGateways counts the gateways whose tables contained the drained endpoint before it was drained. DrainTime is the
	// time from the draining entry in the list until such a gateway has received a table without the endpoint, and
	// UpdatedGateways counts those that received one.
	AffectedGateways int     `json:"holders"`
	DrainTime        Latency `json:"wake_ms"`
	MaxDrainTime     float64 `json:"wake_most_ms"`
	UpdatedGateways  int     `json:"woken"`
	Disconnects      int     `json:"broke"` // connections that broke and were dialled again
}

// RunPolls starts a coordinator, has gateways poll for endpoints and routes, and drains an endpoint once all polls
// wait.
func RunPolls(command []string, gateways, endpoints int) (PollResult, error) {
	result := PollResult{Gateways: gateways, Endpoints: endpoints, Polls: 2 * gateways}
	dir, output, remove, err := workDirWithLog("", "porthub-polls-")
	if err != nil {
		return result, err
	}
	defer remove()
	m := newPollMeasurement(command, dir, output, gateways, endpoints)
	if err := m.writeList("ready"); err != nil {
		return result, err
	}
	if err := m.coordinator.start(); err != nil {
		return result, err
	}
	defer m.coordinator.end(syscall.SIGTERM)
	err = m.run(&result)
	return result, err
}

// pollMeasurement is a run of [RunPolls].
type pollMeasurement struct {
	scenario    Scenario
	dir         string
	endpoints   int
	coordinator *coordinatorProcess
	watch       *pollWatch
}

func newPollMeasurement(command []string, dir string, output *os.File, gateways, endpoints int) *pollMeasurement {
	scenario := defaultScenario()
	scenario.GatewayCount = gateways
	log := audit.NewLog(auditLimits(scenario))
	world := emulator.NewWorld(log, emulator.WarmUpRules{}, 1)
	c := scenario.Config(dir, "127.0.0.1:0", 1)
	c.Rules.QueueLimit = float64(400 * gateways)
	c.Gateways.SilenceTimeout = 120_000_000
	c.Delivery.Poll.MaxWait = 60_000_000
	c.Delivery.Poll.MaxPending = 4 * gateways
	c.Limits = config.Limits{Connections: 4 * gateways, PerAddress: 4 * gateways}
	return &pollMeasurement{
		scenario:    scenario,
		dir:         dir,
		endpoints:   endpoints,
		coordinator: &coordinatorProcess{command: command, dir: dir, world: world, log: log, output: output, config: c},
		watch:       &pollWatch{hasFirst: map[int]bool{}},
	}
}

// writeList writes the list, with a status for its first endpoint: that is the one that is drained.
func (m *pollMeasurement) writeList(firstStatus string) error {
	var groups []targetGroup
	for i := range m.endpoints {
		labels := map[string]string{labelZone: m.zone(i), labelMachine: machineType, labelLaunched: launchedLong}
		if i == 0 {
			labels[labelStatus] = firstStatus
		}
		groups = append(groups, targetGroup{Targets: []string{fmt.Sprintf("127.0.0.1:%d", firstPort+i)}, Labels: labels})
	}
	return writeListFile(listPath(m.dir), groups)
}

// firstPort is the port of the first endpoint. Nothing listens there.
const firstPort = 1

func (m *pollMeasurement) zone(i int) string { return m.scenario.Zones[i%len(m.scenario.Zones)] }

// run measures. All goroutines have ended when it returns.
func (m *pollMeasurement) run(result *PollResult) error {
	memoryBefore := currentResident(m.coordinator.pid())
	ctx, cancel := context.WithCancel(context.Background())
	var polls sync.WaitGroup
	defer polls.Wait()
	defer cancel()
	start := time.Now()
	m.startPolls(ctx, &polls)
	if err := m.waitForTables(); err != nil {
		return err
	}
	result.ConnectSeconds = time.Since(start).Seconds()
	const settling = 3 * time.Second // until the updates that follow the connections have arrived
	time.Sleep(settling)
	result.KiBPerPoll = float64(currentResident(m.coordinator.pid())-memoryBefore) / float64(result.Polls)
	result.AffectedGateways = m.watch.begin(time.Now())
	if err := m.writeList(statusDraining); err != nil {
		return err
	}
	m.waitForWakes(result.AffectedGateways)
	if err := m.watch.fill(result); err != nil {
		return err
	}
	cancel()
	m.coordinator.end(syscall.SIGTERM)
	return nil
}

// startPolls starts two polls for each gateway, which end with the context.
func (m *pollMeasurement) startPolls(ctx context.Context, polls *sync.WaitGroup) {
	const batch = 50 // connections arrive over seconds, as after a restart
	for i := range m.scenario.GatewayCount {
		for _, routes := range []bool{false, true} {
			p := poller{measurement: m, gateway: i, routes: routes}
			polls.Go(func() { p.run(ctx) })
		}
		if i%batch == batch-1 {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

func (m *pollMeasurement) waitForTables() error {
	gateways := m.scenario.GatewayCount
	for deadline := time.Now().Add(2 * time.Minute); m.watch.countTables() < gateways; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			return errors.Join(fmt.Errorf("after two minutes %d of %d gateways have their tables", m.watch.countTables(), gateways), m.watch.lastError())
		}
	}
	return nil
}

func (m *pollMeasurement) waitForWakes(holders int) {
	for deadline := time.Now().Add(time.Minute); m.watch.countWoken() < holders && time.Now().Before(deadline); {
		time.Sleep(20 * time.Millisecond)
	}
}

// poller polls for one document of one gateway.
type poller struct {
	measurement *pollMeasurement
	gateway     int
	routes      bool
}

// run dials again and again until the context ends.
func (p poller) run(ctx context.Context) {
	for ctx.Err() == nil {
		p.measurement.watch.noteDisconnect(p.runConnection(ctx))
		time.Sleep(200 * time.Millisecond)
	}
}

// runConnection polls on a connection until that or the context ends.
func (p poller) runConnection(ctx context.Context) error {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", p.measurement.coordinator.address())
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	reader := bufio.NewReaderSize(conn, 4096)
	version := ""
	for ctx.Err() == nil {
		message, err := p.poll(conn, reader, version)
		if err != nil {
			return err
		}
		if message == nil {
			continue // nothing new
		}
		version = message.VersionInfo
		if p.routes {
			continue
		}
		hasFirst, endpoints, err := findFirstEndpoint(message)
		if err != nil {
			return err
		}
		p.measurement.watch.observe(p.gateway, hasFirst, endpoints)
	}
	return ctx.Err()
}

// poll sends a request and returns the response; nil if it has nothing new. It uses the binary form: what is measured is
// the coordinator, and the gateways share its cores.
func (p poller) poll(conn net.Conn, reader *bufio.Reader, version string) (*discoveryv3.DiscoveryResponse, error) {
	path, resourceType := xds.EndpointPath, xds.EndpointType
	if p.routes {
		path, resourceType = xds.RoutePath, xds.RouteType
	}
	node := xds.Node{Name: fmt.Sprintf("gw-%d", p.gateway), Zone: p.measurement.zone(p.gateway), UsualRate: 1, Polls: true, MaxWait: time.Minute}
	text, err := proto.Marshal(xds.NewAcknowledgement(node, resourceType, version, "", ""))
	if err != nil {
		return nil, err
	}
	request := fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/x-protobuf\r\nContent-Length: %d\r\n\r\n", path, len(text))
	if _, err := conn.Write(append(request, text...)); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		return nil, err
	}
	switch {
	case response.StatusCode == http.StatusServiceUnavailable:
		time.Sleep(time.Second)
		return nil, nil
	case response.StatusCode >= http.StatusBadRequest:
		return nil, fmt.Errorf("%s: %s", response.Status, bytes.TrimSpace(body))
	case response.StatusCode != http.StatusOK:
		return nil, nil
	}
	message := &discoveryv3.DiscoveryResponse{}
	if err := proto.Unmarshal(body, message); err != nil {
		return nil, err
	}
	return message, nil
}

// findFirstEndpoint reports whether the first endpoint can be sent requests by any cluster, and how many endpoints there
// are in all clusters.
func findFirstEndpoint(message *discoveryv3.DiscoveryResponse) (found bool, endpoints int, err error) {
	for _, resource := range message.Resources {
		cluster := &endpointv3.ClusterLoadAssignment{}
		if err := resource.UnmarshalTo(cluster); err != nil {
			return false, 0, err
		}
		for _, zone := range cluster.Endpoints {
			for _, endpoint := range zone.LbEndpoints {
				endpoints++
				port := endpoint.GetEndpoint().GetAddress().GetSocketAddress().GetPortValue()
				found = found || port == firstPort && endpoint.HealthStatus != corev3.HealthStatus_DRAINING
			}
		}
	}
	return found, endpoints, nil
}
