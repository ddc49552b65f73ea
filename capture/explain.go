package capture

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"porthub/coordinator"
	"porthub/policyapi"
)

// Event is something that bore on a node, in words.
type Event struct {
	At   policyapi.Microseconds `json:"at_us"`
	Seq  uint64                 `json:"record"`
	Kind string                 `json:"what"` // list, probe, report, order, sent, confirmed, note, start or gap
	Text string                 `json:"text"`
}

// Explanation says why a node got traffic at a time, or why not.
type Explanation struct {
	Endpoint policyapi.EndpointID   `json:"node"`
	At       policyapi.Microseconds `json:"at_us"`
	Events   []Event                `json:"chain"` // the last of each sort before that time, and what led to it
	Gateways []GatewayTable         `json:"holds"` // gateways that held an open line of it then
	Answer   string                 `json:"answer"`
}

// GatewayTable is a gateway that held an open line of the node.
type GatewayTable struct {
	Gateway coordinator.Gateway `json:"gateway"`
	Version string              `json:"version"`
	Classes []string            `json:"request_kinds"`
	Weights []float64           `json:"weights"` // by request kind, of its cluster's sum
	// Confirmed: it has said that it holds this; else it is on its way.
	Confirmed    bool                   `json:"confirmed"`
	Since        policyapi.Microseconds `json:"since_us"` // when the line was first sent to it
	Attempts     int                    `json:"tries"`    // in its last report before that time
	Disconnected bool                   `json:"away"`     // its link had ended: nothing could be told it
}

// endpointHistory keeps what bears on one node while a capture is replayed.
type endpointHistory struct {
	node    policyapi.EndpointID
	at      policyapi.Microseconds
	chain   []Event
	entry   *policyapi.Endpoint
	weights map[policyapi.TableID]float64
	opens   map[coordinator.Gateway]*line // as sent
	holds   map[coordinator.Gateway]*line // as confirmed
	tries   map[coordinator.Gateway]int
	errs    map[coordinator.Gateway]int
	known   bool              // the state is known
	says    map[string]string // by registry
	away    map[coordinator.Gateway]bool
}

type line struct {
	version string
	since   policyapi.Microseconds
	kinds   []string
	weights []float64
}

// TimeRange finds the time of the first and last record of a capture that have one.
func TimeRange(r *Reader) (first, last policyapi.Microseconds, err error) {
	for {
		rec, err := r.Next()
		if err == io.EOF {
			return first, last, nil
		}
		if err != nil {
			return first, last, err
		}
		if rec.Step != nil {
			if last = rec.Step.Now; first == 0 {
				first = last
			}
		}
	}
}

// Explain replays a capture up to a time and says what led to the node's lines as they were then.
func Explain(r *Reader, node policyapi.EndpointID, at policyapi.Microseconds) (Explanation, error) {
	f := &endpointHistory{node: node, at: at, weights: map[policyapi.TableID]float64{}}
	f.begin()
	seen := false
	_, err := Replay(r, "", func(rec *Record, core *coordinator.Core, outputs []coordinator.Output) bool {
		if rec.Step != nil && rec.Step.Now > at {
			return false
		}
		seen = seen || rec.Step != nil
		f.record(rec, outputs)
		return true
	})
	if err != nil {
		return Explanation{}, err
	}
	if !seen {
		return Explanation{}, fmt.Errorf("capture: nothing was recorded up to that time")
	}
	return f.explain(), nil
}

func (f *endpointHistory) begin() {
	f.opens, f.holds = map[coordinator.Gateway]*line{}, map[coordinator.Gateway]*line{}
	f.tries, f.errs = map[coordinator.Gateway]int{}, map[coordinator.Gateway]int{}
	clear(f.weights)
	f.says, f.away = map[string]string{}, map[coordinator.Gateway]bool{}
	f.known = true
}

func (f *endpointHistory) say(at policyapi.Microseconds, seq uint64, what, format string, args ...any) {
	f.chain = append(f.chain, Event{at, seq, what, fmt.Sprintf(format, args...)})
}

func (f *endpointHistory) record(rec *Record, outputs []coordinator.Output) {
	switch {
	case rec.Start != nil:
		f.begin()
		f.say(policyapi.Microseconds(rec.Start.WallTime), rec.Seq, "start", "the coordinator started (%s)%s", rec.Start.Build, recalled(rec.Start))
	case rec.Gap != nil:
		f.begin()
		f.known = false
		f.say(0, rec.Seq, "gap", "records %d to %d are missing (%s): what was told then is not known", rec.Gap.From, rec.Gap.To, rec.Gap.Reason)
	case rec.Command != nil && rec.Command.Pin != nil:
		f.say(0, rec.Seq, "command", "an operator pinned %s: %s", rec.Command.Pin.Scope, rec.Command.Pin.Reason)
	case rec.Command != nil && rec.Command.Drain == f.node:
		f.say(0, rec.Seq, "command", "an operator drained it: %s", rec.Command.Reason)
	case rec.Command != nil && rec.Command.Undrain == f.node:
		f.say(0, rec.Seq, "command", "an operator let it in again: %s", rec.Command.Reason)
	case rec.Command != nil && rec.Command.Unpin > 0:
		f.say(0, rec.Seq, "command", "an operator let pin %d go: %s", rec.Command.Unpin, rec.Command.Reason)
	case rec.Step != nil:
		f.step(rec, outputs)
	}
}

func recalled(s *Start) string {
	if s.Restored == nil {
		return ", knowing nothing of the time before"
	}
	return ", recalled " + s.Restored.String()
}

func (f *endpointHistory) step(rec *Record, outputs []coordinator.Output) {
	now, seq := rec.Step.Now, rec.Seq
	for _, in := range rec.Step.Inputs {
		switch in := in.(type) {
		case coordinator.EndpointUpdate:
			f.list(now, seq, in)
		case coordinator.RegistryUpdate:
			f.told(now, seq, in)
		case coordinator.HealthCheckResult:
			if in.Endpoint == f.node {
				f.say(now, seq, "probe", "a probe of it: ok %t %s", in.Healthy, in.Code)
			}
		case coordinator.LoadReport:
			f.report(now, seq, in)
		case coordinator.DocumentAck:
			// A confirmation of what was sent, or of something newer.
			if open, sent := f.opens[in.Gateway]; in.Error == "" && in.Document == coordinator.EndpointsDocument && sent && open.version == in.Version {
				if was := f.holds[in.Gateway]; was == nil || was.version != in.Version {
					copied := *open
					f.holds[in.Gateway] = &copied
					f.say(now, seq, "confirmed", "%s confirmed %s, %s", in.Gateway, in.Version, open)
				}
			}
		case coordinator.GatewayConnected:
			delete(f.away, in.Gateway)
		case coordinator.GatewayDisconnected:
			f.away[in.Gateway] = true
			if f.opens[in.Gateway] != nil {
				f.say(now, seq, "left", "%s's link ended; it goes on by what it holds", in.Gateway)
			}
		}
	}
	for _, o := range rec.Step.Orders {
		switch o := o.(type) {
		case policyapi.SetWeight:
			if o.Endpoint == f.node && f.weights[o.Table] != o.Weight {
				f.say(now, seq, "order", "table %d: weight %.3f to %.3f", o.Table, f.weights[o.Table], o.Weight)
				f.weights[o.Table] = o.Weight
			}
		case policyapi.ClearTable:
			if f.weights[o.Table] > 0 {
				f.say(now, seq, "order", "table %d was cleared", o.Table)
				f.weights[o.Table] = 0
			}
		case policyapi.EjectEndpoint:
			if o.Endpoint == f.node {
				f.say(now, seq, "order", "withdrawn from all tables: %t", o.Ejected)
			}
		case policyapi.Log:
			if strings.Contains(o.Text, string(f.node)) {
				f.say(now, seq, "note", "%s", o.Text)
			}
		}
	}
	for _, out := range outputs {
		switch o := out.(type) {
		case coordinator.Publish:
			f.publish(now, seq, o)
		case coordinator.LogEntry:
			if (o.Event == "solver" || o.Event == "membership") && strings.Contains(o.Text, string(f.node)) {
				f.say(now, seq, "note", "%s", o.Text)
			}
		}
	}
}

func (f *endpointHistory) list(now policyapi.Microseconds, seq uint64, l coordinator.EndpointUpdate) {
	for _, e := range l.Endpoints {
		if e.ID != f.node {
			continue
		}
		if f.entry == nil || f.entry.Status != e.Status || f.entry.StartedAt != e.StartedAt && e.StartedAt > 0 {
			started := ""
			if e.StartedAt > 0 {
				started = fmt.Sprintf(", started %.1f s before", float64(now-e.StartedAt)/1e6)
			}
			f.say(now, seq, "list", "the node list (version %d): %s in %s%s", l.Version, status(e.Status), e.Zone, started)
		}
		f.entry = &e
		return
	}
	if l.Kind == policyapi.Snapshot && f.entry != nil && f.entry.Status != policyapi.Removed && l.Error == "" {
		f.say(now, seq, "list", "the node list (version %d) does not name it any more", l.Version)
		gone := *f.entry
		gone.Status = policyapi.Removed
		f.entry = &gone
	}
}

// told follows what a registry says of the node.
func (f *endpointHistory) told(now policyapi.Microseconds, seq uint64, a coordinator.RegistryUpdate) {
	text := "does not name it"
	for _, c := range a.Observations {
		if c.Endpoint == f.node {
			text = fmt.Sprintf("has it %s in %s", c.Status, c.Zone)
		}
	}
	if a.Error != "" {
		text = "gives no answer: " + a.Error
	}
	if f.says[a.Source] != text {
		f.says[a.Source] = text
		f.say(now, seq, "list", "%s %s", a.Source, text)
	}
}

func status(s policyapi.EndpointStatus) string {
	return [...]string{"ready", "draining", "gone"}[min(max(s, 0), 2)]
}

func (f *endpointHistory) report(now policyapi.Microseconds, seq uint64, r coordinator.LoadReport) {
	tries, errored := 0, 0
	for _, k := range r.Classes {
		for _, e := range k.Endpoints {
			if e.Endpoint == f.node {
				tries, errored = tries+e.Attempts, errored+e.Failures
			}
		}
	}
	began := tries > 0 && f.tries[r.Gateway] == 0
	ended := tries == 0 && f.tries[r.Gateway] > 0
	if began || ended || errored > 0 && f.errs[r.Gateway] == 0 {
		f.say(now, seq, "report", "%s reports %d tries at it, %d errored, in %.1f s", r.Gateway, tries, errored, float64(r.Interval)/1e6)
	}
	f.tries[r.Gateway], f.errs[r.Gateway] = tries, errored
}

func (f *endpointHistory) publish(now policyapi.Microseconds, seq uint64, p coordinator.Publish) {
	if !p.Changed[coordinator.EndpointsDocument] {
		return
	}
	was := f.opens[p.Gateway]
	open := &line{version: p.Version, since: now}
	for _, c := range p.Snapshot.Clusters {
		sum, own := 0.0, 0.0
		for _, l := range c.Endpoints {
			if l.Withheld {
				continue
			}
			if sum += l.Weight; l.Endpoint == f.node {
				own = l.Weight
			}
		}
		if own > 0 {
			open.kinds, open.weights = append(open.kinds, c.Class), append(open.weights, own/sum)
		}
	}
	if was != nil && len(was.kinds) > 0 && len(open.kinds) > 0 {
		open.since = was.since
	}
	f.opens[p.Gateway] = open
	if (was != nil && len(was.kinds) > 0) != (len(open.kinds) > 0) {
		f.say(now, seq, "sent", "%s was sent %s, %s", p.Gateway, p.Version, open)
	}
}

func (l *line) String() string {
	if len(l.kinds) == 0 {
		return "without an open line of it"
	}
	var parts []string
	for i, k := range l.kinds {
		parts = append(parts, fmt.Sprintf("%s %.1f%%", k, 100*l.weights[i]))
	}
	return "with it for " + strings.Join(parts, ", ")
}

// explain sums up: who held it, by what, and why nothing had taken it away.
func (f *endpointHistory) explain() Explanation {
	x := Explanation{Endpoint: f.node, At: f.at}
	for _, name := range slices.Sorted(maps.Keys(f.opens)) {
		sent, held := f.opens[name], f.holds[name]
		in := sent
		if held != nil && len(held.kinds) > 0 {
			in = held
		}
		if len(in.kinds) == 0 {
			continue
		}
		x.Gateways = append(x.Gateways, GatewayTable{Gateway: name, Version: in.version, Classes: in.kinds, Weights: in.weights, Confirmed: held != nil && held.version == in.version,
			Since: in.since, Attempts: f.tries[name], Disconnected: f.away[name]})
	}
	x.Events = f.short()
	listed := "it is in no list"
	closedAt := policyapi.Microseconds(0)
	if f.entry != nil {
		listed = "the list has it as " + status(f.entry.Status)
		for _, e := range f.chain {
			if e.Kind == "list" {
				closedAt = e.At
			}
		}
	}
	var tabled []string
	for _, t := range slices.Sorted(maps.Keys(f.weights)) {
		if w := f.weights[t]; w > 0 {
			tabled = append(tabled, fmt.Sprintf("%d (weight %.3f)", t, w))
		}
	}
	late, away := 0, 0
	for _, h := range x.Gateways {
		if h.Disconnected {
			away++
		} else if sent := f.opens[h.Gateway]; len(sent.kinds) == 0 {
			late++
		}
	}
	switch {
	case !f.known:
		x.Answer = "records are missing before that time: what held then is not known"
	case len(x.Gateways) == 0 && len(f.chain) == 0:
		x.Answer = "nothing that was recorded names it"
	case len(x.Gateways) == 0:
		x.Answer = fmt.Sprintf("no gateway held an open line of it: %s; tables with it: %s", listed, orNone(tabled))
	case f.entry != nil && f.entry.Status != policyapi.Ready:
		x.Answer = fmt.Sprintf("%s since %.1f s, but %d gateways still held a line of it: %d had no link and could be told nothing, to %d the table without it had gone out and was not confirmed",
			listed, float64(f.at-closedAt)/1e6, len(x.Gateways), away, late)
	default:
		x.Answer = fmt.Sprintf("%d gateways held an open line of it: %s, and the module's tables name it: %s", len(x.Gateways), listed, orNone(tabled))
	}
	return x
}

func orNone(s []string) string {
	if len(s) == 0 {
		return "none"
	}
	return strings.Join(s, ", ")
}

// short keeps the last few of each sort, in order: a flapping node has hundreds.
func (f *endpointHistory) short() (out []Event) {
	const each = 8
	left := map[string]int{}
	for _, e := range slices.Backward(f.chain) {
		if left[e.Kind]++; left[e.Kind] <= each {
			out = append(out, e)
		}
	}
	slices.Reverse(out)
	return out
}
