package capture

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"porthub/coordinator"
	"porthub/policyapi"
	"porthub/routing"
)

const second policyapi.Microseconds = 1_000_000

func testSettings(epoch string) coordinator.Settings {
	return coordinator.Settings{Epoch: epoch, Build: "test", SilenceTimeout: 3 * second, SolverEnabled: true, Start: policyapi.Start{
		Seed: 1, InstanceCount: 1, Zone: "a", Zones: []policyapi.Zone{"a", "b"},
		Classes: []policyapi.ClassSettings{
			{Name: "view", Idempotency: policyapi.Idempotent, LatencyObjective: 750_000, ClientTimeout: 2_500_000, PriorityWeight: 1},
			{Name: "save", LatencyObjective: 750_000, ClientTimeout: 2_000_000, PriorityWeight: 2},
		},
		Rules: policyapi.RuleSettings{EmptyTableLimit: 5 * second, DrainGracePeriod: 3 * second, WarmUp: 17 * second, InitialCapacity: 0.16,
			OverloadFactor: 2.5, OverloadWindow: 2 * second, QueueLimit: 4000, MessageLimit: 20, MessageWindow: 10 * second},
		Channel:   policyapi.ChannelSettings{LinesPerSecond: 6000, MessageOverhead: 6, Latency: 100_000, MaxLatency: 300_000, EndpointConnections: 200},
		Reports:   policyapi.ReportSettings{Period: second, MaxLinesPerSecond: 1000, MetricsInReports: true, MetricNames: []string{"busy", "q"}},
		Admission: policyapi.AdmissionByRate, ProxyCount: 4, PollsList: true,
	}}
}

// scenarioZones are the zones that the scenario's endpoints and gateways are assigned in turn.
var scenarioZones = []policyapi.Zone{"a", "b"}

// scenario drives a core with random inputs: endpoint lists with drains, connections, late and repeated reports and
// acknowledgements. The same seed gives the same inputs.
type scenario struct {
	rng       *rand.Rand
	core      *coordinator.Core
	acks      []coordinator.Input // of publications of the previous step
	sequences map[int]uint64      // of the last report, by gateway
}

// runScenario runs a scenario and passes each record to record. Every 40 steps an operator pins the tables.
func runScenario(seed uint64, epoch string, steps int, record func(*Record)) {
	settings := testSettings(epoch)
	s := &scenario{rng: rand.New(rand.NewPCG(seed, 7)), core: coordinator.New(settings), sequences: map[int]uint64{}}
	record(&Record{Start: &Start{Format: Format, Build: "test", WallTime: int64(second), Settings: settings}})
	now := 1000 * second
	for i := range steps {
		now += policyapi.Microseconds(s.rng.Int64N(int64(second / 2)))
		inputs := s.inputs(i)
		outputs := s.core.Step(now, inputs)
		s.acknowledge(outputs)
		record(&Record{Step: &Step{Now: now, Inputs: inputs, Orders: s.core.Orders(), Digest: Digest(outputs)}})
		if i%40 == 20 {
			pin := routing.Pin{Scope: routing.Scope{Table: routing.AnyTable}, Reason: "a test"}
			if _, err := s.core.Pin(pin); err == nil {
				record(&Record{Command: &Command{Pin: &pin}})
			}
		}
	}
}

func (s *scenario) inputs(step int) []coordinator.Input {
	inputs := s.acks
	s.acks = nil
	if step == 0 || s.rng.IntN(12) == 0 {
		inputs = append(inputs, s.list(step))
	}
	for g := range 4 {
		if step == 1 {
			inputs = append(inputs, coordinator.GatewayConnected{Gateway: gatewayName(g), Conn: coordinator.ConnID(g + 1), Zone: scenarioZones[g%2], Weight: 5})
		}
		if step > 1 && s.rng.IntN(3) == 0 {
			inputs = append(inputs, s.report(g))
		}
	}
	return inputs
}

func gatewayName(g int) coordinator.Gateway { return coordinator.Gateway(fmt.Sprint("g", g)) }

func (s *scenario) list(step int) coordinator.EndpointUpdate {
	update := policyapi.EndpointUpdate{Version: policyapi.ListVersion(step + 1), Kind: policyapi.Snapshot}
	for n := range 6 {
		endpoint := policyapi.Endpoint{ID: policyapi.EndpointID(fmt.Sprintf("n%d:1", n)), Zone: scenarioZones[n%2], Weight: 1}
		if s.rng.IntN(6) == 0 {
			endpoint.Status = policyapi.Draining
		}
		update.Endpoints = append(update.Endpoints, endpoint)
	}
	return coordinator.EndpointUpdate{EndpointUpdate: update}
}

func (s *scenario) report(g int) coordinator.LoadReport {
	s.sequences[g]++
	sequence := s.sequences[g]
	if s.rng.IntN(10) == 0 {
		sequence -= min(sequence, 2) // a late or repeated report
	}
	endpoint := policyapi.EndpointID(fmt.Sprintf("n%d:1", s.rng.IntN(6)))
	return coordinator.LoadReport{Gateway: gatewayName(g), Conn: coordinator.ConnID(g + 1), Sequence: sequence, Interval: second,
		Classes: []coordinator.ClassReport{{Class: "view", Arrivals: s.rng.IntN(30), Endpoints: []coordinator.EndpointReport{{
			Endpoint: endpoint, Attempts: 10, Failures: s.rng.IntN(3), MeanLatency: 160_000,
			Metrics: policyapi.LoadMetrics{"busy": s.rng.Float64(), "q": 1},
		}}}}}
}

// acknowledge makes the gateways acknowledge most publications in the next step.
func (s *scenario) acknowledge(outputs []coordinator.Output) {
	for _, output := range outputs {
		message, ok := output.(coordinator.Publish)
		if !ok || s.rng.IntN(8) == 0 {
			continue
		}
		for document, changed := range message.Changed {
			if changed {
				s.acks = append(s.acks, coordinator.DocumentAck{Gateway: message.Gateway, Conn: coordinator.ConnID(message.Gateway[1] - '0' + 1),
					Document: coordinator.Document(document), Version: message.Version, Nonce: message.Nonce})
			}
		}
	}
}

// waitWritten waits until a record is in the file system.
func waitWritten(w *Writer, seq uint64) {
	for w.Written() < seq {
		time.Sleep(100 * time.Microsecond)
	}
}

// writeBlockPerRecord writes a scenario as one segment with a block for each record. It returns the segment's bytes.
func writeBlockPerRecord(t *testing.T, dir string, seed uint64, steps int) []byte {
	t.Helper()
	w := NewWriter(dir, Limits{})
	runScenario(seed, "e", steps, func(r *Record) {
		w.Append(r)
		waitWritten(w, r.Seq)
	})
	w.Close()
	data, err := os.ReadFile(listSegments(t, dir)[0].Path)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func writeFile(t *testing.T, path string, data []byte) {
	t.Helper()
	if err := os.WriteFile(path, data, 0o644); err != nil {
		t.Fatal(err)
	}
}

func listSegments(t *testing.T, dir string) []Segment {
	t.Helper()
	segments, err := Segments(dir)
	if err != nil {
		t.Fatal(err)
	}
	return segments
}

// openCapture opens a capture and closes it when the test ends.
func openCapture(t *testing.T, path string) *Reader {
	t.Helper()
	r, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

func readAll(t *testing.T, path string) ([]*Record, *Reader) {
	t.Helper()
	r, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	var out []*Record
	for record, err := range r.All() {
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, record)
	}
	return out, r
}

func replayCapture(t *testing.T, path string) ReplayResult {
	t.Helper()
	result, err := Replay(openCapture(t, path), "test", nil)
	if err != nil {
		t.Fatal(err)
	}
	return result
}
