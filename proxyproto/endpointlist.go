package proxyproto

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"

	"porthub/policyapi"
)

// EndpointList is one answer of discovery's.
type EndpointList struct {
	Update               policyapi.EndpointUpdate
	HealthCheckAddresses map[policyapi.EndpointID]string // where those that are listed answer probes
	Dropped              []string                        // entries that can't be used, and why
	Unreadable           []policyapi.EndpointID          // the endpoints of those, where the name could be read
	HasUnnamed           bool                            // of some the name could not be read: what is not listed may be one of them
}

// microsecondsPerMillisecond is how the platform's milliseconds become whole microseconds.
const microsecondsPerMillisecond = 1000

// maxTimeMilliseconds bounds any time a message states, in milliseconds: over a thousand years none was measured, and what lies within
// can't overflow.
const maxTimeMilliseconds = 4e13

// millisecondsToMicroseconds turns a time of the platform into ours.
func millisecondsToMicroseconds(ms float64) policyapi.Microseconds {
	return policyapi.Microseconds(math.Round(ms * microsecondsPerMillisecond))
}

var endpointStatuses = map[string]policyapi.EndpointStatus{"Ready": policyapi.Ready, "Terminating": policyapi.Draining, "Gone": policyapi.Removed}

// ReadEndpointList reads a list, whole or of changes. An entry that can't be used is dropped alone; a text that is no list is
// refused whole.
func ReadEndpointList(text []byte, zones []policyapi.Zone) (EndpointList, error) {
	var in struct {
		Seq   *int64
		Whole *bool
		Hosts []json.RawMessage
	}
	if err := json.Unmarshal(text, &in); err != nil {
		return EndpointList{}, fmt.Errorf("not a list: %w", err)
	}
	if in.Seq == nil || in.Whole == nil || *in.Seq < 0 {
		return EndpointList{}, fmt.Errorf("not a list: no seq, or no whole")
	}
	out := EndpointList{Update: policyapi.EndpointUpdate{Version: policyapi.ListVersion(*in.Seq), Kind: policyapi.Delta}, HealthCheckAddresses: map[policyapi.EndpointID]string{}}
	if *in.Whole {
		out.Update.Kind = policyapi.Snapshot
	}
	for _, raw := range in.Hosts {
		entry, dial, err := readEntry(raw, zones)
		if err != nil {
			out.drop(raw, err)
			continue
		}
		out.Update.Endpoints = append(out.Update.Endpoints, entry)
		if dial != "" {
			out.HealthCheckAddresses[entry.ID] = dial
		}
	}
	return out, nil
}

// drop notes an entry that can't be used.
func (l *EndpointList) drop(raw []byte, why error) {
	l.Dropped = append(l.Dropped, why.Error())
	id, err := readIdentity(raw)
	if err != nil || !isEncodableName(id.Host) {
		l.HasUnnamed = true
		return
	}
	l.Unreadable = append(l.Unreadable, policyapi.EndpointID(id.Host))
}

// identity is what suffices to take an endpoint out of all tables.
type identity struct{ Host, Health string }

// readIdentity reads an entry's name and health, whatever its other fields hold.
func readIdentity(raw []byte) (id identity, err error) {
	var fields struct{ Host, Health json.RawMessage }
	if err := json.Unmarshal(raw, &fields); err != nil {
		return id, err
	}
	if err := json.Unmarshal(fields.Host, &id.Host); err != nil {
		return id, err
	}
	if err := json.Unmarshal(fields.Health, &id.Health); err != nil {
		id.Health = "" // the name alone still tells which endpoint it is
	}
	return id, nil
}

// isEncodableName tells whether messages can carry an endpoint's name.
func isEncodableName(name string) bool { return name != "" && !strings.ContainsAny(name, ",+ \r\n") }

// readEntry reads an entry. Of one that drains or is gone the name and the health suffice: the drain must not be lost with another
// field that can't be used.
func readEntry(raw []byte, zones []policyapi.Zone) (policyapi.Endpoint, string, error) {
	var in struct {
		Host, Dial, Site, Class, Health string
		Block                           int
		Share                           float64
		Born                            float64 `json:"born_ms"`
	}
	id, err := readIdentity(raw)
	fail := func(why string) (policyapi.Endpoint, string, error) {
		status, known := endpointStatuses[id.Health]
		if known && status != policyapi.Ready && isEncodableName(id.Host) {
			return policyapi.Endpoint{ID: policyapi.EndpointID(id.Host), Status: status}, "", nil
		}
		return policyapi.Endpoint{}, "", fmt.Errorf("host %q: %s", id.Host, why)
	}
	if err == nil {
		err = json.Unmarshal(raw, &in)
	}
	if err != nil {
		return fail(err.Error())
	}
	status, known := endpointStatuses[in.Health]
	switch {
	case !isEncodableName(in.Host):
		return fail("a name that no message can carry")
	case !known:
		return fail(fmt.Sprintf("health %q is not known", in.Health))
	case status != policyapi.Removed && !slices.Contains(zones, policyapi.Zone(in.Site)):
		return fail(fmt.Sprintf("site %q is not known", in.Site))
	case in.Share < 0 || in.Share > math.MaxInt32 || in.Born < 0 || in.Born > maxTimeMilliseconds:
		return fail(fmt.Sprintf("share %g or born_ms %g out of range", in.Share, in.Born))
	}
	if !isHostPort(in.Dial) {
		in.Dial = "" // it can be named in tables, not probed
	}
	return policyapi.Endpoint{ID: policyapi.EndpointID(in.Host), Zone: policyapi.Zone(in.Site), Weight: in.Share, Pod: policyapi.PodID(in.Block),
		StartedAt: millisecondsToMicroseconds(in.Born), MachineType: policyapi.MachineType(in.Class), Status: status}, in.Dial, nil
}
