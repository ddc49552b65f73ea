package simwire

import (
	"errors"
	"fmt"
	"io"

	"porthub/policyapi"
)

// parsers contains, by message, the function that reads the parts that follow the instance. Go evaluates the calls in a
// composite literal from left to right, so the fields of each literal must be in the order of the message's parts.
var parsers = map[string]func(*Reader, policyapi.InstanceID, *fields) (policyapi.Event, error){
	"UP":          (*Reader).start,
	"DISCOVERY":   (*Reader).endpointUpdate,
	"PROXY_STATS": (*Reader).proxyLoad,
	"HEAT":        (*Reader).sliceLoad,
	"RING":        parser(timerFired),
	"PROBE_DONE":  parser(healthCheckResult),
	"MEMO":        parser(peerMessage),
	"SUBSCRIBED":  parser(proxyConnected),
	"STREAM_DOWN": parser(proxyDisconnected),
	"TALLY":       parser(endpointLoad),
	"TOOK_EFFECT": parser(acknowledged),
	"CHARGE":      parser(sliceAssigned),
	"RECORDED":    parser(sliceWeight),
}

// parser adapts a function that needs only the message's parts.
func parser[E policyapi.Event](parse func(*fields) E) func(*Reader, policyapi.InstanceID, *fields) (policyapi.Event, error) {
	return func(_ *Reader, _ policyapi.InstanceID, f *fields) (policyapi.Event, error) { return parse(f), nil }
}

// event reads one message, including the lines that belong to it.
func (r *Reader) event(f *fields) (InstanceEvent, error) {
	to := policyapi.InstanceID(f.text("i"))
	if f.message == "CRASH_NOW" {
		return InstanceEvent{To: to, Crash: true}, f.close()
	}
	parse, found := parsers[f.message]
	if !found {
		return InstanceEvent{}, r.syntaxError(f.message, "message", "unknown message name")
	}
	event, err := parse(r, to, f)
	if err != nil {
		return InstanceEvent{}, err
	}
	if err := f.close(); err != nil {
		return InstanceEvent{}, err
	}
	return InstanceEvent{To: to, Event: event}, nil
}

func (r *Reader) start(to policyapi.InstanceID, f *fields) (policyapi.Event, error) {
	seed := f.seed("nonce64")
	start, err := ParseSettings([]byte(f.last("info")))
	if err != nil {
		f.fail("info", err.Error())
	}
	start.Seed = seed
	r.classes[to] = map[string]policyapi.RequestClass{}
	for k, class := range start.Classes {
		r.classes[to][class.Name] = policyapi.RequestClass(k)
	}
	return start, nil
}

// class reads the name of a request class and returns the class, or policyapi.UnknownClass if the instance or the name is
// unknown.
func (r *Reader) class(to policyapi.InstanceID, f *fields) policyapi.RequestClass {
	if class, found := r.classes[to][f.text("class")]; found {
		return class
	}
	return policyapi.UnknownClass
}

func (r *Reader) proxyLoad(to policyapi.InstanceID, f *fields) (policyapi.Event, error) {
	return policyapi.ProxyLoad{
		Proxy:    f.proxy(),
		Class:    r.class(to, f),
		Requests: f.count("total"),
		Failures: f.count("lost"),
		Period:   f.micros("periodLen"),
	}, nil
}

func (r *Reader) sliceLoad(to policyapi.InstanceID, f *fields) (policyapi.Event, error) {
	return policyapi.SliceLoad{
		Table:    f.table(),
		Class:    r.class(to, f),
		Requests: f.count("total"),
		Failures: f.count("lost"),
		Period:   f.micros("periodLen"),
	}, nil
}

func timerFired(f *fields) policyapi.TimerFired {
	return policyapi.TimerFired{Token: policyapi.TimerToken(f.integer("nonce"))}
}

func healthCheckResult(f *fields) policyapi.HealthCheckResult {
	result := policyapi.HealthCheckResult{
		Endpoint: f.endpoint(),
		Code:     f.text("rc"),
		Duration: f.micros("costTime"),
		Metrics:  f.metrics("telemetry"),
	}
	result.Healthy = result.Code == "Ok"
	return result
}

func peerMessage(f *fields) policyapi.PeerMessage {
	return policyapi.PeerMessage{From: policyapi.PeerID(f.integer("from")), Body: f.body("body")}
}

func proxyConnected(f *fields) policyapi.ProxyConnected {
	return policyapi.ProxyConnected{
		HasDefaultTableOnly: f.flag("on"),
		Zone:                f.zone(),
		Proxy:               f.proxy(),
		Weight:              f.number("weight"),
	}
}

func proxyDisconnected(f *fields) policyapi.ProxyDisconnected {
	return policyapi.ProxyDisconnected{Proxy: f.proxy()}
}

func endpointLoad(f *fields) policyapi.EndpointLoad {
	return policyapi.EndpointLoad{
		Zone:        f.zone(),
		Endpoint:    f.endpoint(),
		Attempts:    f.count("total"),
		Failures:    f.count("lost"),
		MeanLatency: f.micros("costTime"),
		Period:      f.micros("periodLen"),
		Metrics:     f.metrics("telemetry"),
	}
}

func acknowledged(f *fields) policyapi.Acknowledged {
	return policyapi.Acknowledged{
		Delay: f.micros("costTime"),
		Proxy: f.proxy(),
		AckID: policyapi.AckID(f.integer("epoch")),
	}
}

func sliceAssigned(f *fields) policyapi.SliceAssigned {
	return policyapi.SliceAssigned{Assigned: f.flag("on"), Table: f.table()}
}

func sliceWeight(f *fields) policyapi.SliceWeight {
	return policyapi.SliceWeight{Endpoint: f.endpoint(), Table: f.table(), Weight: f.number("weight")}
}

var updateKinds = map[string]policyapi.UpdateKind{
	"INCREMENTAL": policyapi.Delta,
	"FULL":        policyapi.Snapshot,
	"SAVED":       policyapi.Cached,
	"FAILED":      policyapi.Failed,
}

// endpointUpdate reads an endpoint list: its header and one row for each entry.
func (r *Reader) endpointUpdate(_ policyapi.InstanceID, f *fields) (policyapi.Event, error) {
	update := policyapi.EndpointUpdate{Version: policyapi.ListVersion(f.integer("epoch"))}
	name := f.text("how")
	kind, found := updateKinds[name]
	if !found {
		f.fail("how", fmt.Sprintf("unknown kind of update %q", name))
	}
	update.Kind = kind
	entries := f.integer("lines")
	if entries < 0 {
		f.fail("lines", "number of rows is negative")
	}
	if err := f.close(); err != nil {
		return nil, err
	}
	for range entries {
		entry, err := r.entry()
		if err != nil {
			return nil, err
		}
		update.Endpoints = append(update.Endpoints, entry)
	}
	return update, nil
}

var endpointStatuses = map[string]policyapi.EndpointStatus{
	"ready":    policyapi.Ready,
	"draining": policyapi.Draining,
	"gone":     policyapi.Removed,
}

// entry reads one row of an endpoint list.
func (r *Reader) entry() (policyapi.Endpoint, error) {
	f, err := r.next()
	if errors.Is(err, io.EOF) {
		return policyapi.Endpoint{}, r.endError("ROW", "input ends within an endpoint list")
	}
	if err != nil {
		return policyapi.Endpoint{}, err
	}
	if f.message != "ROW" {
		return policyapi.Endpoint{}, r.syntaxError(f.message, "message", "expected ROW: the list has fewer rows than its header states")
	}
	entry := policyapi.Endpoint{
		Zone:        f.zone(),
		ID:          f.endpoint(),
		Weight:      f.number("weight"),
		Pod:         policyapi.PodID(f.integer("pod")),
		StartedAt:   f.micros("launched"),
		MachineType: policyapi.MachineType(f.text("flavor")),
	}
	name := f.text("health")
	status, found := endpointStatuses[name]
	if !found {
		f.fail("health", fmt.Sprintf("unknown endpoint status %q", name))
	}
	entry.Status = status
	return entry, f.close()
}
