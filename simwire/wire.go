// Package simwire reads and writes the bench's text wire in terms of package control.
package simwire

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"

	"porthub/policyapi"
)

// Addressed is an event for one instance.
type Addressed struct {
	To    policyapi.InstanceID
	Event policyapi.Event // nil if Crash
	// Crash says that the instance is killed. It is the host's business, not the module's.
	Crash bool
}

// Batch is what comes at one time.
type Batch struct {
	Now    policyapi.Microseconds
	Events []Addressed
}

// Reader reads batches.
type Reader struct {
	in   *bufio.Reader
	line int
	// the names of one instance's request kinds: usage names a kind by its name
	kinds map[policyapi.InstanceID]map[string]policyapi.RequestClass
}

// NewReader returns a reader of the wire.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, 1<<20), kinds: map[policyapi.InstanceID]map[string]policyapi.RequestClass{}}
}

// fields of one line, read from left to right; the first complaint sticks.
type fields struct {
	name string
	rest string
	done bool
	err  error
}

func (f *fields) fail(part, why string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %s: %s", f.name, part, why)
	}
}

func (f *fields) text(part string) string {
	if f.done {
		f.fail(part, "missing")
		return ""
	}
	head, rest, more := strings.Cut(f.rest, "\t")
	f.rest, f.done = rest, !more
	return head
}

func (f *fields) last(part string) string {
	if f.done {
		f.fail(part, "missing")
		return ""
	}
	f.done = true
	return f.rest
}

func (f *fields) whole(part string) int64 {
	s := f.text(part)
	if s == "-" {
		return 0
	}
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil && f.err == nil {
		f.fail(part, fmt.Sprintf("%q is not a whole number", s))
	}
	return v
}

func (f *fields) seed(part string) uint64 {
	s := f.text(part)
	v, err := strconv.ParseUint(s, 10, 64)
	if err != nil && f.err == nil {
		signed, err := strconv.ParseInt(s, 10, 64)
		if err != nil {
			f.fail(part, fmt.Sprintf("%q is not a whole number", s))
		}
		return uint64(signed)
	}
	return v
}

func (f *fields) number(part string) float64 {
	s := f.text(part)
	if s == "-" {
		return 0
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil && f.err == nil {
		f.fail(part, fmt.Sprintf("%q is not a number", s))
	}
	return v
}

func (f *fields) flag(part string) bool {
	s := f.text(part)
	if s != "0" && s != "1" && f.err == nil {
		f.fail(part, fmt.Sprintf("%q is neither 0 nor 1", s))
	}
	return s == "1"
}

func (f *fields) micros(part string) policyapi.Microseconds {
	return policyapi.Microseconds(f.whole(part))
}

func (f *fields) loads(part string) policyapi.LoadMetrics {
	s := f.text(part)
	if s == "-" || s == "" {
		return nil
	}
	out := policyapi.LoadMetrics{}
	for _, pair := range strings.Split(s, ",") {
		name, value, ok := strings.Cut(pair, ":")
		v, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil {
			f.fail(part, fmt.Sprintf("%q is not name:value", pair))
			return out
		}
		out[name] = v
	}
	return out
}

func (f *fields) body(part string) []byte {
	s := f.text(part)
	if s == "-" {
		return nil
	}
	b, err := base64.StdEncoding.DecodeString(s)
	if err != nil {
		f.fail(part, "not base64")
	}
	return b
}

func (f *fields) close() error {
	if f.err == nil && !f.done {
		f.fail("end of line", "more parts than the message has")
	}
	return f.err
}

// next returns one line's fields; io.EOF only at a clean end.
func (r *Reader) next() (*fields, error) {
	s, err := r.in.ReadString('\n')
	if err == io.EOF && s == "" {
		return nil, io.EOF
	}
	r.line++
	if err == io.EOF {
		return nil, r.complain(fmt.Errorf("%q: end of line: missing", s))
	}
	if err != nil {
		return nil, err
	}
	f := &fields{rest: strings.TrimSuffix(strings.TrimSuffix(s, "\n"), "\r")}
	f.name = f.text("message")
	return f, nil
}

func (r *Reader) complain(err error) error { return fmt.Errorf("line %d: %w", r.line, err) }

// Read returns the next batch, or io.EOF at a clean end of input.
func (r *Reader) Read() (Batch, error) {
	f, err := r.next()
	if err != nil {
		return Batch{}, err
	}
	if f.name != "TURN" {
		return Batch{}, r.complain(fmt.Errorf("%s: message: expected TURN", f.name))
	}
	b := Batch{Now: f.micros("time")}
	if err := f.close(); err != nil {
		return b, r.complain(err)
	}
	for {
		f, err := r.next()
		if err == io.EOF {
			r.line++
			return b, r.complain(fmt.Errorf("EOB: message: input ends in mid-batch"))
		}
		if err != nil {
			return b, err
		}
		if f.name == "EOB" {
			if err := f.close(); err != nil {
				return b, r.complain(err)
			}
			return b, nil
		}
		ev, err := r.event(f)
		if err != nil {
			return b, err
		}
		b.Events = append(b.Events, ev)
	}
}

func (r *Reader) event(f *fields) (Addressed, error) {
	to := policyapi.InstanceID(f.text("i"))
	var ev policyapi.Event
	crash := false
	switch f.name {
	case "UP":
		seed := f.seed("nonce64")
		up, err := Settings([]byte(f.last("info")))
		if err != nil {
			f.fail("info", err.Error())
		}
		up.Seed = seed
		names := map[string]policyapi.RequestClass{}
		for k, kind := range up.Classes {
			names[kind.Name] = policyapi.RequestClass(k)
		}
		r.kinds[to] = names
		ev = up
	case "CRASH_NOW":
		crash = true
	case "DISCOVERY":
		list := policyapi.EndpointUpdate{Version: policyapi.ListVersion(f.whole("epoch"))}
		how := f.text("how")
		switch how {
		case "INCREMENTAL":
			list.Kind = policyapi.Delta
		case "FULL":
			list.Kind = policyapi.Snapshot
		case "SAVED":
			list.Kind = policyapi.Cached
		case "FAILED":
			list.Kind = policyapi.Failed
		default:
			f.fail("how", fmt.Sprintf("%q is not known", how))
		}
		n := f.whole("lines")
		if n < 0 {
			f.fail("lines", "below 0")
		}
		if err := f.close(); err != nil {
			return Addressed{}, r.complain(err)
		}
		for range n {
			e, err := r.entry()
			if err != nil {
				return Addressed{}, err
			}
			list.Endpoints = append(list.Endpoints, e)
		}
		return Addressed{To: to, Event: list}, nil
	case "RING":
		ev = policyapi.TimerFired{Token: policyapi.TimerToken(f.whole("nonce"))}
	case "PROBE_DONE":
		p := policyapi.HealthCheckResult{Endpoint: policyapi.EndpointID(f.text("backend")), Code: f.text("rc")}
		p.Healthy = p.Code == "Ok"
		p.Duration, p.Metrics = f.micros("costTime"), f.loads("telemetry")
		ev = p
	case "MEMO":
		ev = policyapi.PeerMessage{From: policyapi.PeerID(f.whole("from")), Body: f.body("body")}
	case "SUBSCRIBED":
		j := policyapi.ProxyConnected{HasDefaultTableOnly: f.flag("on"), Zone: policyapi.Zone(f.text("site"))}
		j.Proxy, j.Weight = policyapi.ProxyID(f.whole("agent")), f.number("weight")
		ev = j
	case "STREAM_DOWN":
		ev = policyapi.ProxyDisconnected{Proxy: policyapi.ProxyID(f.whole("agent"))}
	case "TALLY":
		h := policyapi.EndpointLoad{Zone: policyapi.Zone(f.text("site")), Endpoint: policyapi.EndpointID(f.text("backend"))}
		h.Attempts, h.Failures = int(f.whole("total")), int(f.whole("lost"))
		h.MeanLatency, h.Period, h.Metrics = f.micros("costTime"), f.micros("periodLen"), f.loads("telemetry")
		ev = h
	case "PROXY_STATS":
		u := policyapi.ProxyLoad{Proxy: policyapi.ProxyID(f.whole("agent"))}
		u.Class = r.kind(to, f)
		u.Requests, u.Failures, u.Period = int(f.whole("total")), int(f.whole("lost")), f.micros("periodLen")
		ev = u
	case "TOOK_EFFECT":
		a := policyapi.Acknowledged{Delay: f.micros("costTime"), Proxy: policyapi.ProxyID(f.whole("agent"))}
		a.AckID = policyapi.AckID(f.whole("epoch"))
		ev = a
	case "HEAT":
		h := policyapi.SliceLoad{Table: policyapi.TableID(f.whole("mapId"))}
		h.Class = r.kind(to, f)
		h.Requests, h.Failures, h.Period = int(f.whole("total")), int(f.whole("lost")), f.micros("periodLen")
		ev = h
	case "CHARGE":
		ev = policyapi.SliceAssigned{Assigned: f.flag("on"), Table: policyapi.TableID(f.whole("mapId"))}
	case "RECORDED":
		h := policyapi.SliceWeight{Endpoint: policyapi.EndpointID(f.text("backend")), Table: policyapi.TableID(f.whole("mapId"))}
		h.Weight = f.number("weight")
		ev = h
	default:
		return Addressed{}, r.complain(fmt.Errorf("%s: message: not known", f.name))
	}
	if err := f.close(); err != nil {
		return Addressed{}, r.complain(err)
	}
	return Addressed{To: to, Event: ev, Crash: crash}, nil
}

// kind turns a request kind's name into its position; -1 where the instance or the name is not known.
func (r *Reader) kind(to policyapi.InstanceID, f *fields) policyapi.RequestClass {
	if k, ok := r.kinds[to][f.text("class")]; ok {
		return k
	}
	return -1
}

func (r *Reader) entry() (policyapi.Endpoint, error) {
	f, err := r.next()
	if err == io.EOF {
		r.line++
		return policyapi.Endpoint{}, r.complain(fmt.Errorf("ROW: message: input ends within a list"))
	}
	if err != nil {
		return policyapi.Endpoint{}, err
	}
	if f.name != "ROW" {
		return policyapi.Endpoint{}, r.complain(fmt.Errorf("%s: message: expected ROW, the list has fewer than it says", f.name))
	}
	e := policyapi.Endpoint{Zone: policyapi.Zone(f.text("site")), ID: policyapi.EndpointID(f.text("backend"))}
	e.Weight, e.Pod = f.number("weight"), policyapi.PodID(f.whole("pod"))
	e.StartedAt, e.MachineType = f.micros("launched"), policyapi.MachineType(f.text("flavor"))
	health := f.text("health")
	switch health {
	case "ready":
		e.Status = policyapi.Ready
	case "draining":
		e.Status = policyapi.Draining
	case "gone":
		e.Status = policyapi.Removed
	default:
		f.fail("health", fmt.Sprintf("%q is not known", health))
	}
	if err := f.close(); err != nil {
		return e, r.complain(err)
	}
	return e, nil
}

// Settings reads the object of settings that UP brings and that a live coordinator finds in its configuration; keys not
// named here are passed over.
func Settings(text []byte) (policyapi.Start, error) {
	var in struct {
		Az         policyapi.Zone
		Localities []policyapi.Zone
		Me         policyapi.PeerID
		Instances  int
		Discovery  string
		Weights    string
		Caps       struct{ Peers, Probes bool }
		Domain     struct {
			ClassOwnZone                []bool
			DataPlaneSize, OutlierAfter int
			UpdateCap                   int
			EmptyFor, Period            policyapi.Microseconds
			ReloadSpan, Transit         policyapi.Microseconds
			WorstTransit                policyapi.Microseconds
			Envelope, LinesPerS         float64
			IngestRate, SocketsMin      float64
			QueueCap                    float64
			LevelKind                   string
		}
		Guarantees struct {
			AskWithin, Cold, DrainGrace, Fall policyapi.Microseconds
			ColdFrom, TipMultiple             float64
			SoftRemoval                       bool
		}
		LoadInfo struct {
			Fields []string
			Source string
		}
		Profiles []struct {
			Name, Effect, KeyScope string
			HardLimit, Slo         policyapi.Microseconds
			Points                 float64
			OnlyZones              []policyapi.Zone
		}
	}
	if err := json.Unmarshal(text, &in); err != nil {
		return policyapi.Start{}, err
	}
	up := policyapi.Start{
		Self: in.Me, InstanceCount: max(1, in.Instances), Zone: in.Az, Zones: in.Localities, ProxyCount: in.Domain.DataPlaneSize,
		PollsList: in.Discovery == "ask", EjectionThreshold: in.Domain.OutlierAfter, WeightsListed: in.Weights != "off",
	}
	up.Rules = policyapi.RuleSettings{
		EmptyTableLimit: in.Domain.EmptyFor, DrainGracePeriod: in.Guarantees.DrainGrace, WarmUp: in.Guarantees.Cold,
		InitialCapacity: in.Guarantees.ColdFrom, OverloadFactor: in.Guarantees.TipMultiple, OverloadWindow: in.Guarantees.Fall,
		SoftRemoval: in.Guarantees.SoftRemoval, PollInterval: in.Guarantees.AskWithin, QueueLimit: in.Domain.QueueCap,
		MessageLimit: in.Domain.UpdateCap, MessageWindow: in.Domain.ReloadSpan,
		HealthChecksAllowed: in.Caps.Probes, PeerMessagesAllowed: in.Caps.Peers,
	}
	up.Channel = policyapi.ChannelSettings{LinesPerSecond: in.Domain.LinesPerS, MessageOverhead: in.Domain.Envelope,
		Latency: in.Domain.Transit, MaxLatency: in.Domain.WorstTransit,
		EndpointConnections: int(in.Domain.SocketsMin)}
	up.Reports = policyapi.ReportSettings{Period: in.Domain.Period, MaxLinesPerSecond: in.Domain.IngestRate, MetricsInReports: in.LoadInfo.Source == "inline",
		MetricNames: in.LoadInfo.Fields}
	switch in.Domain.LevelKind {
	case "share":
		up.Admission = policyapi.AdmissionByShare
	case "rate":
		up.Admission = policyapi.AdmissionByRate
	}
	for k, p := range in.Profiles {
		kind := policyapi.ClassSettings{Name: p.Name, DeduplicationScope: p.KeyScope, LatencyObjective: p.Slo,
			ClientTimeout: p.HardLimit, PriorityWeight: p.Points, AllowedZones: p.OnlyZones}
		switch p.Effect {
		case "repeatable":
			kind.Idempotency = policyapi.Idempotent
		case "by_key":
			kind.Idempotency = policyapi.IdempotentWithKey
		}
		kind.LocalZoneOnly = k < len(in.Domain.ClassOwnZone) && in.Domain.ClassOwnZone[k]
		up.Classes = append(up.Classes, kind)
	}
	return up, nil
}

// Writer writes replies.
type Writer struct{ out *bufio.Writer }

// NewWriter returns a writer of the wire.
func NewWriter(out io.Writer) *Writer { return &Writer{bufio.NewWriterSize(out, 1<<20)} }

func number(v float64) string { return strconv.FormatFloat(v, 'g', 6, 64) }

func flag(v bool) string {
	if v {
		return "1"
	}
	return "0"
}

// Order writes one order of an instance.
func (w *Writer) Order(from policyapi.InstanceID, order policyapi.Order) {
	var parts []any
	switch o := order.(type) {
	case policyapi.Log:
		parts = []any{"RECORD", from, strings.Join(strings.Fields(o.Text), " ")}
	case policyapi.WatchEndpoints:
		parts = []any{"TAIL", from, flag(o.Enabled)}
	case policyapi.Resync:
		parts = []any{"QUERY_ALL", from}
	case policyapi.SetTimer:
		parts = []any{"SLEEP", from, int64(o.After), int64(o.Token)}
	case policyapi.CheckHealth:
		parts = []any{"HEALTH_CHECK", from, o.Endpoint}
	case policyapi.Broadcast:
		parts = []any{"BROADCAST_TO", from, "all", base64.StdEncoding.EncodeToString(o.Body)}
	case policyapi.SetWeight:
		parts = []any{"LINE", from, int(o.Table), number(o.Weight), o.Endpoint}
	case policyapi.ClearTable:
		parts = []any{"DROP_LINES", from, int(o.Table)}
	case policyapi.BindProxy:
		parts = []any{"INSTALL", from, int(o.Proxy), int(o.Table), uint64(o.Classes)}
	case policyapi.EjectEndpoint:
		parts = []any{"MASK", from, o.Endpoint, flag(o.Ejected)}
	case policyapi.SetAdmission:
		parts = []any{"GATE_CLASS", from, int(o.Table), uint64(o.Classes), number(o.Level), int(o.RetryPolicy)}
	case policyapi.RequestAck:
		parts = []any{"MARK", from, int(o.AckID), flag(o.AllProxies)}
	default:
		parts = []any{"EXCEPTION", from, fmt.Sprintf("no wire form for %T", order)}
	}
	for i, p := range parts {
		if i > 0 {
			w.out.WriteByte('\t')
		}
		fmt.Fprint(w.out, p)
	}
	w.out.WriteByte('\n')
}

// Exception declares that an instance's decision code has failed.
func (w *Writer) Exception(from policyapi.InstanceID, text string) {
	fmt.Fprintf(w.out, "EXCEPTION\t%s\t%s\n", from, strings.Join(strings.Fields(text), " "))
}

// End ends a reply and flushes it.
func (w *Writer) End() error {
	w.out.WriteString("OK\n")
	return w.out.Flush()
}
