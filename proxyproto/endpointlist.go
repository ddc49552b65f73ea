package proxyproto

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"

	"porthub/policyapi"
)

// ErrNotAList means that a response of discovery is not an endpoint list.
var ErrNotAList = errors.New("not an endpoint list")

// EntryError describes an invalid entry of an endpoint list.
type EntryError struct {
	Host   string // the endpoint's name; empty if it could not be read
	Reason string
}

func (e *EntryError) Error() string { return fmt.Sprintf("host %q: %s", e.Host, e.Reason) }

// EndpointList is a decoded response of discovery.
type EndpointList struct {
	Update               policyapi.EndpointUpdate
	HealthCheckAddresses map[policyapi.EndpointID]string // host:port, for the endpoints with a valid address
	Dropped              []*EntryError                   // one for each invalid entry
	Unreadable           []policyapi.EndpointID          // endpoints of the dropped entries whose names could be read
	HasUnnamed           bool                            // a dropped entry has no readable name, and may belong to any missing endpoint
}

// endpointListJSON has the keys of an endpoint list in JSON.
type endpointListJSON struct {
	Seq      *int64            `json:"seq"`
	Complete *bool             `json:"whole"`
	Hosts    []json.RawMessage `json:"hosts"`
}

// endpointEntryJSON has the keys of an entry.
type endpointEntryJSON struct {
	Host     string  `json:"host"`
	Dial     string  `json:"dial"`
	Site     string  `json:"site"`
	Class    string  `json:"class"`
	Health   string  `json:"health"`
	Block    int     `json:"block"`
	Share    float64 `json:"share"`
	BornAtMs float64 `json:"born_ms"`
}

// endpointIdentity has the fields of an entry that suffice to withdraw the endpoint from all tables.
type endpointIdentity struct{ host, health string }

// endpointIdentityJSON has the keys of an entry's identity. Each value is decoded separately, so that an invalid health value
// does not prevent decoding the name.
type endpointIdentityJSON struct {
	Host   json.RawMessage `json:"host"`
	Health json.RawMessage `json:"health"`
}

var endpointStatuses = map[string]policyapi.EndpointStatus{
	"Ready":       policyapi.Ready,
	"Terminating": policyapi.Draining,
	"Gone":        policyapi.Removed,
}

// ReadEndpointList decodes a snapshot or a delta. Invalid entries are dropped and listed in Dropped. The error wraps ErrNotAList if
// the text is not a list.
func ReadEndpointList(text []byte, zones []policyapi.Zone) (EndpointList, error) {
	var in endpointListJSON
	if err := json.Unmarshal(text, &in); err != nil {
		return EndpointList{}, fmt.Errorf("%w: %w", ErrNotAList, err)
	}
	if in.Seq == nil || in.Complete == nil || *in.Seq < 0 {
		return EndpointList{}, fmt.Errorf("%w: seq or whole is missing, or seq is negative", ErrNotAList)
	}
	list := EndpointList{
		Update:               policyapi.EndpointUpdate{Version: policyapi.ListVersion(*in.Seq), Kind: policyapi.Delta},
		HealthCheckAddresses: map[policyapi.EndpointID]string{},
	}
	if *in.Complete {
		list.Update.Kind = policyapi.Snapshot
	}
	for _, raw := range in.Hosts {
		endpoint, address, err := readEntry(raw, zones)
		if err != nil {
			list.drop(raw, err)
			continue
		}
		list.Update.Endpoints = append(list.Update.Endpoints, endpoint)
		if address != "" {
			list.HealthCheckAddresses[endpoint.ID] = address
		}
	}
	return list, nil
}

// drop records an invalid entry.
func (l *EndpointList) drop(raw []byte, reason *EntryError) {
	l.Dropped = append(l.Dropped, reason)
	identity, err := readIdentity(raw)
	if err != nil || !isEncodableName(identity.host) {
		l.HasUnnamed = true
		return
	}
	l.Unreadable = append(l.Unreadable, policyapi.EndpointID(identity.host))
}

// readIdentity decodes an entry's name and health even if the other fields are invalid.
func readIdentity(raw []byte) (identity endpointIdentity, err error) {
	var fields endpointIdentityJSON
	if err := json.Unmarshal(raw, &fields); err != nil {
		return identity, err
	}
	if err := json.Unmarshal(fields.Host, &identity.host); err != nil {
		return identity, err
	}
	if err := json.Unmarshal(fields.Health, &identity.health); err != nil {
		identity.health = "" // the name alone still identifies the endpoint
	}
	return identity, nil
}

// isEncodableName reports whether messages can carry an endpoint's name: it must be non-empty and must not contain a separator.
func isEncodableName(name string) bool { return name != "" && !strings.ContainsAny(name, ",+ \r\n") }

// readEntry decodes an entry into an endpoint and its health-check address; an invalid address is returned as the empty string.
// For an endpoint that is draining or removed, name and health suffice: the drain must not be lost because another field is
// invalid.
func readEntry(raw []byte, zones []policyapi.Zone) (policyapi.Endpoint, string, *EntryError) {
	identity, err := readIdentity(raw)
	var in endpointEntryJSON
	if err == nil {
		err = json.Unmarshal(raw, &in)
	}
	var reason string
	if err != nil {
		reason = err.Error()
	} else {
		reason = in.invalidReason(zones)
	}
	if reason != "" {
		status, known := endpointStatuses[identity.health]
		if known && status != policyapi.Ready && isEncodableName(identity.host) {
			return policyapi.Endpoint{ID: policyapi.EndpointID(identity.host), Status: status}, "", nil
		}
		return policyapi.Endpoint{}, "", &EntryError{Host: identity.host, Reason: reason}
	}
	address := in.Dial
	if !isHostPort(address) {
		address = "" // tables can name the endpoint, but its health can't be checked
	}
	return in.endpoint(), address, nil
}

// invalidReason returns why the entry is invalid, or "" if it is valid.
func (e *endpointEntryJSON) invalidReason(zones []policyapi.Zone) string {
	status, known := endpointStatuses[e.Health]
	switch {
	case !isEncodableName(e.Host):
		return "the name is empty or contains a separator of the protocol"
	case !known:
		return fmt.Sprintf("health %q is not Ready, Terminating or Gone", e.Health)
	case status != policyapi.Removed && !slices.Contains(zones, policyapi.Zone(e.Site)):
		return fmt.Sprintf("site %q is not a zone of the settings", e.Site)
	case e.Share < 0 || e.Share > math.MaxInt32 || e.BornAtMs < 0 || e.BornAtMs > maxTimeMilliseconds:
		return fmt.Sprintf("share %g or born_ms %g is out of range", e.Share, e.BornAtMs)
	default:
		return ""
	}
}

func (e *endpointEntryJSON) endpoint() policyapi.Endpoint {
	return policyapi.Endpoint{
		ID:          policyapi.EndpointID(e.Host),
		Zone:        policyapi.Zone(e.Site),
		Weight:      e.Share,
		Pod:         policyapi.PodID(e.Block),
		StartedAt:   millisecondsToMicroseconds(e.BornAtMs),
		MachineType: policyapi.MachineType(e.Class),
		Status:      endpointStatuses[e.Health],
	}
}
