package daemon

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"

	"porthub/capture"
	"porthub/coordinator"
	"porthub/policyapi"
	"porthub/routing"
)

// operation carries out an operator's request on the core and returns the response's body. It runs in the loop that owns the
// core.
type operation func(*coordinator.Core) []byte

// requestError reports why a request can't be carried out, with the HTTP status of the response.
type requestError struct {
	status int
	err    error
}

func (e *requestError) Error() string { return e.err.Error() }

func (e *requestError) Unwrap() error { return e.err }

func badRequest(err error) error { return &requestError{http.StatusBadRequest, err} }

// operation returns the operation that a request specifies. Its error is a *requestError.
func (d *Daemon) operation(request *http.Request, body []byte) (operation, error) {
	switch request.Method + " " + request.URL.Path {
	case "GET /tables/versions":
		return func(c *coordinator.Core) []byte { return encodeResponse(tableVersions(c)) }, nil
	case "POST /tables/pin":
		return d.pinOperation(body)
	case "POST /tables/unpin":
		return d.unpinOperation(body)
	case "GET /levels":
		return func(c *coordinator.Core) []byte { return encodeResponse(c.Degradation()) }, nil
	case "POST /levels/say":
		return d.setLevelOperation(body)
	case "POST /levels/unsay":
		return d.clearLevelOperation(body)
	case "GET /nodes":
		return d.endpointsResponse, nil
	case "POST /nodes/drain":
		return d.drainOperation(body)
	case "POST /nodes/undrain":
		return d.undrainOperation(body)
	}
	return nil, &requestError{http.StatusNotFound, fmt.Errorf("no handler for %s %s", request.Method, request.URL.Path)}
}

// readBody decodes a JSON request body and rejects unknown fields. Its error is a *requestError.
func readBody[T any](body []byte) (request T, err error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		return request, badRequest(err)
	}
	return request, nil
}

// Versions is the response to GET /tables/versions.
type Versions struct {
	Now    policyapi.Microseconds `json:"now_us"`
	Pins   []routing.Pin          `json:"pins"`
	Tables []TableVersions        `json:"tables"`
}

// TableVersions lists the versions of one table.
type TableVersions struct {
	Table    policyapi.TableID `json:"table"`
	Zone     policyapi.Zone    `json:"zone,omitempty"` // of the connected gateways that use the table
	Gateways int               `json:"gateways"`       // number of connected gateways that use the table
	Versions []TableVersion    `json:"versions"`
}

// TableVersion is one version of a table.
type TableVersion struct {
	Version   routing.Version          `json:"version"`
	At        policyapi.Microseconds   `json:"at_us"`
	Endpoints []routing.EndpointWeight `json:"lines"`
	// Overrides holds the weights that the solver set in place of Endpoints, by request class.
	Overrides map[string][]routing.EndpointWeight `json:"acting,omitempty"`
}

// PinRequest is the body of POST /tables/pin. Exactly one of table, zone and fleet is set, and at most one of version and
// ago_us; with neither, the version in effect is pinned.
type PinRequest struct {
	Table   *policyapi.TableID     `json:"table"`
	Zone    policyapi.Zone         `json:"zone"`
	Fleet   bool                   `json:"fleet"`
	Version routing.Version        `json:"version"`
	Ago     policyapi.Microseconds `json:"ago_us"`
	Reason  string                 `json:"reason"`
}

// UnpinRequest is the body of POST /tables/unpin.
type UnpinRequest struct {
	ID     int    `json:"id"`
	Reason string `json:"reason"`
}

// PinResponse is the response to POST /tables/pin and /tables/unpin.
type PinResponse struct {
	Pin   routing.Pin `json:"pin"`
	Error string      `json:"error,omitempty"`
}

func pinResponse(pin routing.Pin, err error) []byte {
	response := PinResponse{Pin: pin}
	if err != nil {
		response.Error = err.Error()
	}
	return encodeResponse(response)
}

// pin returns the requested pin. Its time is not set yet: ago_us counts from the core's time.
func (r PinRequest) pin() (routing.Pin, error) {
	pin := routing.Pin{Scope: routing.Scope{Table: routing.AnyTable, Zone: r.Zone}, Version: r.Version, Reason: r.Reason}
	scopes := 0
	if r.Table != nil {
		pin.Scope.Table = *r.Table
		scopes++
	}
	if r.Zone != "" {
		scopes++
	}
	if r.Fleet {
		scopes++
	}
	if scopes != 1 || r.Version > 0 && r.Ago > 0 || r.Ago < 0 {
		return pin, badRequest(fmt.Errorf("specify one of table, zone and fleet, and at most one of version and ago_us"))
	}
	return pin, nil
}

func (d *Daemon) pinOperation(body []byte) (operation, error) {
	request, err := readBody[PinRequest](body)
	if err != nil {
		return nil, err
	}
	pin, err := request.pin()
	if err != nil {
		return nil, err
	}
	return func(c *coordinator.Core) []byte {
		if request.Ago > 0 {
			pin.At = c.Now() - request.Ago
		}
		set, err := c.Pin(pin)
		if err == nil {
			d.recorder.command(capture.Command{Pin: &pin})
		}
		return pinResponse(set, err)
	}, nil
}

func (d *Daemon) unpinOperation(body []byte) (operation, error) {
	request, err := readBody[UnpinRequest](body)
	if err != nil {
		return nil, err
	}
	return func(c *coordinator.Core) []byte {
		pin, err := c.Unpin(request.ID, request.Reason)
		if err == nil {
			d.recorder.command(capture.Command{Unpin: request.ID, Reason: request.Reason})
		}
		return pinResponse(pin, err)
	}, nil
}

func tableVersions(c *coordinator.Core) Versions {
	status := c.Status()
	versions := Versions{Now: status.Now, Pins: c.Versions().Pins()}
	zones := map[policyapi.TableID]policyapi.Zone{}
	gateways := map[policyapi.TableID]int{}
	for _, g := range status.Gateways {
		counted := map[policyapi.TableID]bool{}
		for _, table := range g.Tables {
			if g.Connected && !counted[table] {
				counted[table] = true
				zones[table] = g.Zone
				gateways[table]++
			}
		}
	}
	for _, table := range c.Versions().Tables() {
		history := TableVersions{Table: table, Zone: zones[table], Gateways: gateways[table]}
		for _, entry := range c.Versions().Versions(table) {
			history.Versions = append(history.Versions, tableVersion(c, entry))
		}
		versions.Tables = append(versions.Tables, history)
	}
	return versions
}

func tableVersion(c *coordinator.Core, entry routing.VersionEntry) TableVersion {
	version := TableVersion{Version: entry.Version, At: entry.CreatedAt, Endpoints: entry.State.Entries()}
	for class, state := range entry.Overrides {
		if version.Overrides == nil {
			version.Overrides = map[string][]routing.EndpointWeight{}
		}
		version.Overrides[c.ClassName(class)] = state.Entries()
	}
	return version
}
