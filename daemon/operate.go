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

// Versions is what GET /tables/versions answers.
type Versions struct {
	Now    policyapi.Microseconds `json:"now_us"`
	Pins   []routing.Pin          `json:"pins"`
	Tables []TableVersions        `json:"tables"`
}

// TableVersions is what is kept of one table.
type TableVersions struct {
	Table    policyapi.TableID `json:"table"`
	Zone     policyapi.Zone    `json:"zone,omitempty"` // of the gateways bound to it
	Gateways int               `json:"gateways"`
	Versions []TableVersion    `json:"versions"`
}

// TableVersion is one version of a table.
type TableVersion struct {
	Version   routing.Version          `json:"version"`
	At        policyapi.Microseconds   `json:"at_us"`
	Endpoints []routing.EndpointWeight `json:"lines"`
	// Overrides is what the weight solver had in their place, by request kind.
	Overrides map[string][]routing.EndpointWeight `json:"acting,omitempty"`
}

// PinRequest is the body of POST /tables/pin. Of version and ago_us at most one is set; neither holds what is in force.
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

// PinAnswer answers a pin or unpin.
type PinAnswer struct {
	Pin   routing.Pin `json:"pin"`
	Error string      `json:"error,omitempty"`
}

// operation reads an operator's request; what it returns runs in the loop that owns the core.
func (d *Daemon) operation(req *http.Request, body []byte) (func(*coordinator.Core) []byte, int, error) {
	read := func(into any) error {
		dec := json.NewDecoder(bytes.NewReader(body))
		dec.DisallowUnknownFields()
		return dec.Decode(into)
	}
	switch req.Method + " " + req.URL.Path {
	case "GET /levels", "POST /levels/say", "POST /levels/unsay":
		return d.levelOperation(req, read)
	case "GET /nodes", "POST /nodes/drain", "POST /nodes/undrain":
		return d.nodeOperation(req, read)
	case "GET /tables/versions":
		return func(c *coordinator.Core) []byte { return encodeAnswer(tableVersions(c)) }, 0, nil
	case "POST /tables/pin":
		var r PinRequest
		if err := read(&r); err != nil {
			return nil, http.StatusBadRequest, err
		}
		scopes := 0
		p := routing.Pin{Scope: routing.Scope{Table: routing.AnyTable, Zone: r.Zone}, Version: r.Version, Reason: r.Reason}
		if r.Table != nil {
			p.Scope.Table = *r.Table
			scopes++
		}
		if r.Zone != "" {
			scopes++
		}
		if r.Fleet {
			scopes++
		}
		if scopes != 1 || r.Version > 0 && r.Ago > 0 || r.Ago < 0 {
			return nil, http.StatusBadRequest, fmt.Errorf("name one of table, zone and fleet, and at most one of version and ago_us")
		}
		return func(c *coordinator.Core) []byte {
			if r.Ago > 0 {
				p.At = c.Status().Now - r.Ago
			}
			held, err := c.Pin(p)
			if err == nil {
				d.capture(&capture.Record{Command: &capture.Command{Pin: &p}})
			}
			return pinAnswer(held, err)
		}, 0, nil
	case "POST /tables/unpin":
		var r UnpinRequest
		if err := read(&r); err != nil {
			return nil, http.StatusBadRequest, err
		}
		return func(c *coordinator.Core) []byte {
			p, err := c.Unpin(r.ID, r.Reason)
			if err == nil {
				d.capture(&capture.Record{Command: &capture.Command{Unpin: r.ID, Reason: r.Reason}})
			}
			return pinAnswer(p, err)
		}, 0, nil
	}
	return nil, http.StatusNotFound, fmt.Errorf("nothing answers %s %s", req.Method, req.URL.Path)
}

func pinAnswer(p routing.Pin, err error) []byte {
	o := PinAnswer{Pin: p}
	if err != nil {
		o.Error = err.Error()
	}
	return encodeAnswer(o)
}

func encodeAnswer(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Appendf(nil, `{"error": %q}`, err)
	}
	return b
}

func tableVersions(c *coordinator.Core) Versions {
	s := c.Status()
	v := Versions{Now: s.Now, Pins: c.Versions().Pins()}
	zones, users := map[policyapi.TableID]policyapi.Zone{}, map[policyapi.TableID]int{}
	for _, g := range s.Gateways {
		seen := map[policyapi.TableID]bool{}
		for _, t := range g.Tables {
			if g.Connected && !seen[t] {
				zones[t], seen[t] = g.Zone, true
				users[t]++
			}
		}
	}
	for _, t := range c.Versions().Tables() {
		one := TableVersions{Table: t, Zone: zones[t], Gateways: users[t]}
		for _, e := range c.Versions().Versions(t) {
			of := TableVersion{Version: e.Version, At: e.CreatedAt, Endpoints: e.State.Entries()}
			for kind, s := range e.Overrides {
				if of.Overrides == nil {
					of.Overrides = map[string][]routing.EndpointWeight{}
				}
				of.Overrides[c.ClassName(kind)] = s.Entries()
			}
			one.Versions = append(one.Versions, of)
		}
		v.Tables = append(v.Tables, one)
	}
	return v
}
