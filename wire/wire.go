// Package wire reads and writes the bench's text wire in terms of package control.
package wire

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"

	"porthub/control"
)

// Addressed is an event for one instance.
type Addressed struct {
	To    control.Instance
	Event control.Event
}

// Crash tells that an instance is killed; it is the host's business, not the module's.
type Crash struct{}

// Batch is what comes at one time.
type Batch struct {
	Now    control.Micros
	Events []Addressed
}

// Reader reads batches.
type Reader struct {
	in   *bufio.Reader
	line int
	// the names of one instance's request kinds: usage names a kind by its name
	kinds map[control.Instance]map[string]control.ReqKind
}

// NewReader returns a reader of the wire.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, 1<<20), kinds: map[control.Instance]map[string]control.ReqKind{}}
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

func (f *fields) micros(part string) control.Micros { return control.Micros(f.whole(part)) }

func (f *fields) loads(part string) control.Loads {
	s := f.text(part)
	if s == "-" || s == "" {
		return nil
	}
	out := control.Loads{}
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
	to := control.Instance(f.text("i"))
	var ev control.Event
	switch f.name {
	case "UP":
		seed := f.seed("nonce64")
		up, err := Settings([]byte(f.last("info")))
		if err != nil {
			f.fail("info", err.Error())
		}
		up.Seed = seed
		names := map[string]control.ReqKind{}
		for k, kind := range up.Kinds {
			names[kind.Name] = control.ReqKind(k)
		}
		r.kinds[to] = names
		ev = up
	case "CRASH_NOW":
		ev = Crash{}
	case "DISCOVERY":
		list := control.List{Version: control.Version(f.whole("epoch"))}
		how := f.text("how")
		switch how {
		case "INCREMENTAL":
			list.How = control.ListChanges
		case "FULL":
			list.How = control.ListFull
		case "SAVED":
			list.How = control.ListSaved
		case "FAILED":
			list.How = control.ListFailed
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
			list.Entries = append(list.Entries, e)
		}
		return Addressed{to, list}, nil
	case "RING":
		ev = control.Ring{Token: control.Token(f.whole("nonce"))}
	case "PROBE_DONE":
		p := control.Probed{Backend: control.Backend(f.text("backend")), Code: f.text("rc")}
		p.OK = p.Code == "Ok"
		p.Took, p.Loads = f.micros("costTime"), f.loads("telemetry")
		ev = p
	case "MEMO":
		ev = control.Memo{From: control.Peer(f.whole("from")), Body: f.body("body")}
	case "SUBSCRIBED":
		j := control.Joined{Fresh: f.flag("on"), Zone: control.Zone(f.text("site"))}
		j.Proxy, j.Weight = control.Proxy(f.whole("agent")), f.number("weight")
		ev = j
	case "STREAM_DOWN":
		ev = control.Left{Proxy: control.Proxy(f.whole("agent"))}
	case "TALLY":
		h := control.Heard{Zone: control.Zone(f.text("site")), Backend: control.Backend(f.text("backend"))}
		h.Tries, h.Errored = int(f.whole("total")), int(f.whole("lost"))
		h.Answer, h.Period, h.Loads = f.micros("costTime"), f.micros("periodLen"), f.loads("telemetry")
		ev = h
	case "PROXY_STATS":
		u := control.Usage{Proxy: control.Proxy(f.whole("agent"))}
		u.Kind = r.kind(to, f)
		u.Reqs, u.Errored, u.Period = int(f.whole("total")), int(f.whole("lost")), f.micros("periodLen")
		ev = u
	case "TOOK_EFFECT":
		a := control.Applied{Took: f.micros("costTime"), Proxy: control.Proxy(f.whole("agent"))}
		a.Mark = control.Mark(f.whole("epoch"))
		ev = a
	case "HEAT":
		h := control.Heat{Table: control.Table(f.whole("mapId"))}
		h.Kind = r.kind(to, f)
		h.Reqs, h.Errored, h.Period = int(f.whole("total")), int(f.whole("lost")), f.micros("periodLen")
		ev = h
	case "CHARGE":
		ev = control.Given{On: f.flag("on"), Table: control.Table(f.whole("mapId"))}
	case "RECORDED":
		h := control.Held{Backend: control.Backend(f.text("backend")), Table: control.Table(f.whole("mapId"))}
		h.Weight = f.number("weight")
		ev = h
	default:
		return Addressed{}, r.complain(fmt.Errorf("%s: message: not known", f.name))
	}
	if err := f.close(); err != nil {
		return Addressed{}, r.complain(err)
	}
	return Addressed{to, ev}, nil
}

// kind turns a request kind's name into its position; -1 where the instance or the name is not known.
func (r *Reader) kind(to control.Instance, f *fields) control.ReqKind {
	if k, ok := r.kinds[to][f.text("class")]; ok {
		return k
	}
	return -1
}

func (r *Reader) entry() (control.Entry, error) {
	f, err := r.next()
	if err == io.EOF {
		r.line++
		return control.Entry{}, r.complain(fmt.Errorf("ROW: message: input ends within a list"))
	}
	if err != nil {
		return control.Entry{}, err
	}
	if f.name != "ROW" {
		return control.Entry{}, r.complain(fmt.Errorf("%s: message: expected ROW, the list has fewer than it says", f.name))
	}
	e := control.Entry{Zone: control.Zone(f.text("site")), Backend: control.Backend(f.text("backend"))}
	e.Weight, e.Pod = f.number("weight"), control.Pod(f.whole("pod"))
	e.Launched, e.Machine = f.micros("launched"), control.Machine(f.text("flavor"))
	health := f.text("health")
	switch health {
	case "ready":
		e.Status = control.Ready
	case "draining":
		e.Status = control.Draining
	case "gone":
		e.Status = control.Gone
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
func Settings(text []byte) (control.Up, error) {
	var in struct {
		Az         control.Zone
		Localities []control.Zone
		Me         control.Peer
		Instances  int
		Discovery  string
		Weights    string
		Caps       struct{ Peers, Probes bool }
		Domain     struct {
			ClassOwnZone                []bool
			DataPlaneSize, OutlierAfter int
			UpdateCap                   int
			EmptyFor, Period            control.Micros
			ReloadSpan, Transit         control.Micros
			WorstTransit                control.Micros
			Envelope, LinesPerS         float64
			IngestRate, SocketsMin      float64
			QueueCap                    float64
			LevelKind                   string
		}
		Guarantees struct {
			AskWithin, Cold, DrainGrace, Fall control.Micros
			ColdFrom, TipMultiple             float64
			SoftRemoval                       bool
		}
		LoadInfo struct {
			Fields []string
			Source string
		}
		Profiles []struct {
			Name, Effect, KeyScope string
			HardLimit, Slo         control.Micros
			Points                 float64
			OnlyZones              []control.Zone
		}
	}
	if err := json.Unmarshal(text, &in); err != nil {
		return control.Up{}, err
	}
	up := control.Up{
		Me: in.Me, Instances: max(1, in.Instances), Zone: in.Az, Zones: in.Localities, Proxies: in.Domain.DataPlaneSize,
		MustAsk: in.Discovery == "ask", EjectAfter: in.Domain.OutlierAfter, ListedWeight: in.Weights != "off",
	}
	up.Rules = control.RuleSettings{
		EmptyFor: in.Domain.EmptyFor, DrainGrace: in.Guarantees.DrainGrace, Cold: in.Guarantees.Cold,
		ColdFrom: in.Guarantees.ColdFrom, TipMultiple: in.Guarantees.TipMultiple, Fall: in.Guarantees.Fall,
		SoftRemoval: in.Guarantees.SoftRemoval, AskWithin: in.Guarantees.AskWithin, QueueCap: in.Domain.QueueCap,
		MessageCap: in.Domain.UpdateCap, MessageSpan: in.Domain.ReloadSpan,
		ProbeAllowed: in.Caps.Probes, PeersAllowed: in.Caps.Peers,
	}
	up.Channel = control.ChannelSettings{LinesPerS: in.Domain.LinesPerS, Envelope: in.Domain.Envelope,
		Transit: in.Domain.Transit, WorstTransit: in.Domain.WorstTransit,
		Sockets: int(in.Domain.SocketsMin)}
	up.Reports = control.ReportSettings{Period: in.Domain.Period, Intake: in.Domain.IngestRate, InReport: in.LoadInfo.Source == "inline",
		Fields: in.LoadInfo.Fields}
	switch in.Domain.LevelKind {
	case "share":
		up.Levels = control.LevelShare
	case "rate":
		up.Levels = control.LevelRate
	}
	for k, p := range in.Profiles {
		kind := control.KindSettings{Name: p.Name, RepeatScope: p.KeyScope, ResponseTarget: p.Slo,
			ClientTimeout: p.HardLimit, Payoff: p.Points, OnlyZones: p.OnlyZones}
		switch p.Effect {
		case "repeatable":
			kind.Repeat = control.Replayable
		case "by_key":
			kind.Repeat = control.Uniqued
		}
		kind.OwnZone = k < len(in.Domain.ClassOwnZone) && in.Domain.ClassOwnZone[k]
		up.Kinds = append(up.Kinds, kind)
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
func (w *Writer) Order(from control.Instance, order control.Order) {
	var parts []any
	switch o := order.(type) {
	case control.Log:
		parts = []any{"RECORD", from, strings.Join(strings.Fields(o.Text), " ")}
	case control.Watch:
		parts = []any{"TAIL", from, flag(o.On)}
	case control.Fetch:
		parts = []any{"QUERY_ALL", from}
	case control.Sleep:
		parts = []any{"SLEEP", from, int64(o.After), int64(o.Token)}
	case control.Probe:
		parts = []any{"HEALTH_CHECK", from, o.Backend}
	case control.Tell:
		parts = []any{"BROADCAST_TO", from, "all", base64.StdEncoding.EncodeToString(o.Body)}
	case control.Line:
		parts = []any{"LINE", from, int(o.Table), number(o.Weight), o.Backend}
	case control.Clear:
		parts = []any{"DROP_LINES", from, int(o.Table)}
	case control.Bind:
		parts = []any{"INSTALL", from, int(o.Proxy), int(o.Table), uint64(o.Kinds)}
	case control.Withdraw:
		parts = []any{"MASK", from, o.Backend, flag(o.On)}
	case control.Admit:
		parts = []any{"GATE_CLASS", from, int(o.Table), uint64(o.Kinds), number(o.Level), o.SecondTry}
	case control.Marked:
		parts = []any{"MARK", from, int(o.Mark), flag(o.All)}
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
func (w *Writer) Exception(from control.Instance, text string) {
	fmt.Fprintf(w.out, "EXCEPTION\t%s\t%s\n", from, strings.Join(strings.Fields(text), " "))
}

// End ends a reply and flushes it.
func (w *Writer) End() error {
	w.out.WriteString("OK\n")
	return w.out.Flush()
}
