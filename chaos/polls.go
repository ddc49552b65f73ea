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
	"porthub/emulator"
	"porthub/xds"
)

// PollResult is the outcome of [RunPolls].
type PollResult struct {
	Gateways  int `json:"gateways"`
	Endpoints int `json:"nodes"`
	Polls     int `json:"polls"` // two for each gateway, each on its own connection
	// ConnectSeconds is the time until every gateway had received its first table.
	ConnectSeconds float64 `json:"joined_s"`
	// KiBPerPoll is the growth of the coordinator's resident set, from before the first poll until all polls are pending, divided
	// by the number of polls.
	KiBPerPoll float64 `json:"kib_per_poll"`
	// AffectedGateways counts the gateways whose tables contained the drained endpoint before it was drained. DrainTime is the
	// time from writing the draining entry to the list until such a gateway has received a table that omits the endpoint or marks
	// it as draining, and UpdatedGateways counts those that received one.
	AffectedGateways int     `json:"holders"`
	DrainTime        Latency `json:"wake_ms"`
	MaxDrainTime     float64 `json:"wake_most_ms"`
	UpdatedGateways  int     `json:"woken"`
	Disconnects      int     `json:"broke"` // connections that failed or could not be established
}

// RunPolls starts a coordinator and gateways that poll it for endpoints and routes, and drains an endpoint once all polls are
// pending.
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
	defer m.coordinator.terminate(syscall.SIGTERM)
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
	c.Limits.Connections = 4 * gateways
	c.Limits.PerAddress = 4 * gateways
	return &pollMeasurement{
		scenario:    scenario,
		dir:         dir,
		endpoints:   endpoints,
		coordinator: &coordinatorProcess{command: command, dir: dir, world: world, log: log, output: output, config: c},
		watch:       &pollWatch{hasDrainTarget: map[int]bool{}},
	}
}

// writeList writes the endpoint list with the given status of its first endpoint, which is the drain target.
func (m *pollMeasurement) writeList(drainTargetStatus string) error {
	var groups []targetGroup
	for i := range m.endpoints {
		labels := map[string]string{labelZone: m.zone(i), labelMachine: machineType, labelLaunched: launchedLongAgo}
		if i == 0 {
			labels[labelStatus] = drainTargetStatus
		}
		groups = append(groups, targetGroup{Targets: []string{fmt.Sprintf("127.0.0.1:%d", firstPort+i)}, Labels: labels})
	}
	return writeListFile(listPath(m.dir), groups)
}

// firstPort is the port of the first endpoint, which is the drain target. No process listens on the endpoints' ports.
const firstPort = 1

func (m *pollMeasurement) zone(i int) string { return m.scenario.Zones[i%len(m.scenario.Zones)] }

// run fills in the result. All goroutines have ended when it returns.
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
	const settleTime = 3 * time.Second // until the gateways have received the updates that their connections cause
	time.Sleep(settleTime)
	result.KiBPerPoll = float64(currentResident(m.coordinator.pid())-memoryBefore) / float64(result.Polls)
	result.AffectedGateways = m.watch.startDrain(time.Now())
	if err := m.writeList(statusDraining); err != nil {
		return err
	}
	m.waitForUpdates(result.AffectedGateways)
	if err := m.watch.fillResult(result); err != nil {
		return err
	}
	cancel()
	m.coordinator.terminate(syscall.SIGTERM)
	return nil
}

// startPolls starts two polls for each gateway, which stop when the context ends.
func (m *pollMeasurement) startPolls(ctx context.Context, polls *sync.WaitGroup) {
	const batchSize = 50 // gateways between pauses, which spread the connections over time, as after a restart
	for i := range m.scenario.GatewayCount {
		for _, routes := range []bool{false, true} {
			p := poller{measurement: m, gateway: i, routes: routes}
			polls.Go(func() { p.run(ctx) })
		}
		if i%batchSize == batchSize-1 {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

func (m *pollMeasurement) waitForTables() error {
	gateways := m.scenario.GatewayCount
	for deadline := time.Now().Add(2 * time.Minute); m.watch.countTables() < gateways; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			return errors.Join(fmt.Errorf("after two minutes %d of %d gateways have received a table", m.watch.countTables(), gateways),
				m.watch.lastError())
		}
	}
	return nil
}

func (m *pollMeasurement) waitForUpdates(affected int) {
	for deadline := time.Now().Add(time.Minute); m.watch.countUpdated() < affected && time.Now().Before(deadline); {
		time.Sleep(20 * time.Millisecond)
	}
}

// poller polls for one document, the endpoints or the routes, on behalf of one gateway.
type poller struct {
	measurement *pollMeasurement
	gateway     int
	routes      bool
}

// run polls on one connection after the other until the context ends.
func (p poller) run(ctx context.Context) {
	for ctx.Err() == nil {
		p.measurement.watch.recordDisconnect(p.runConnection(ctx))
		time.Sleep(200 * time.Millisecond)
	}
}

// runConnection polls on a new connection until the connection breaks or the context ends.
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
			continue // no new version
		}
		version = message.VersionInfo
		if p.routes {
			continue
		}
		hasDrainTarget, endpoints, err := inspectEndpoints(message)
		if err != nil {
			return err
		}
		p.measurement.watch.observe(p.gateway, hasDrainTarget, endpoints)
	}
	return ctx.Err()
}

// poll sends a request and returns the response. The response is nil if the document has not changed, or if the coordinator
// rejects the poll with 503. poll uses the binary encoding to save CPU time, as the gateways share the cores with the
// coordinator, whose latency is measured.
func (p poller) poll(conn net.Conn, reader *bufio.Reader, version string) (*discoveryv3.DiscoveryResponse, error) {
	path, resourceType := xds.EndpointPath, xds.EndpointType
	if p.routes {
		path, resourceType = xds.RoutePath, xds.RouteType
	}
	node := xds.Node{Name: fmt.Sprintf("gw-%d", p.gateway), Zone: p.measurement.zone(p.gateway), UsualRate: 1, Polls: true,
		MaxWait: time.Minute}
	text, err := proto.Marshal(xds.NewAcknowledgement(node, resourceType, version, "", ""))
	if err != nil {
		return nil, err
	}
	request := fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/x-protobuf\r\nContent-Length: %d\r\n\r\n",
		path, len(text))
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
		return nil, fmt.Errorf("poll failed with status %s: %s", response.Status, bytes.TrimSpace(body))
	case response.StatusCode != http.StatusOK:
		return nil, nil
	}
	message := &discoveryv3.DiscoveryResponse{}
	if err := proto.Unmarshal(body, message); err != nil {
		return nil, err
	}
	return message, nil
}

// inspectEndpoints reports whether any cluster contains the drain target without marking it as draining, and how many endpoints
// all clusters contain.
func inspectEndpoints(message *discoveryv3.DiscoveryResponse) (found bool, endpoints int, err error) {
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
