package daemon

import (
	"net/http"
	"time"

	"porthub/capture"
	"porthub/config"
	"porthub/coordinator"
	"porthub/loadreport"
	"porthub/membership"
	"porthub/policyapi"
	"porthub/registry/eureka"
)

// Endpoints is what GET /nodes answers.
type Endpoints struct {
	Now        policyapi.Microseconds  `json:"now_us"`
	Decisions  []membership.Decision   `json:"nodes"`
	Registries map[string]eureka.Stats `json:"registries,omitempty"`
}

// EndpointRequest is the body of POST /nodes/drain and /nodes/undrain.
type EndpointRequest struct {
	Endpoint policyapi.EndpointID `json:"node"`
	Reason   string               `json:"reason"`
}

// EndpointAnswer answers it.
type EndpointAnswer struct {
	Error string `json:"error,omitempty"`
}

// nodeOperation reads an operator's request about nodes; what it returns runs in the loop that owns the core.
func (d *Daemon) nodeOperation(req *http.Request, read func(any) error) (func(*coordinator.Core) []byte, int, error) {
	if req.Method+" "+req.URL.Path == "GET /nodes" {
		return func(c *coordinator.Core) []byte {
			n := Endpoints{Now: c.Status().Now, Decisions: c.Members()}
			for i, e := range d.registries {
				if n.Registries == nil {
					n.Registries = map[string]eureka.Stats{}
				}
				n.Registries[d.config.Registry.Eureka[i].Name] = e.Stats()
			}
			return encodeAnswer(n)
		}, 0, nil
	}
	var r EndpointRequest
	if err := read(&r); err != nil {
		return nil, http.StatusBadRequest, err
	}
	return func(c *coordinator.Core) []byte {
		var err error
		var record capture.Command
		if req.URL.Path == "/nodes/drain" {
			err, record = c.DrainNode(r.Endpoint, r.Reason), capture.Command{Drain: r.Endpoint, Reason: r.Reason}
		} else {
			err, record = c.UndrainNode(r.Endpoint, r.Reason), capture.Command{Undrain: r.Endpoint, Reason: r.Reason}
		}
		if err != nil {
			return encodeAnswer(EndpointAnswer{err.Error()})
		}
		d.capture(&capture.Record{Command: &record})
		d.saveSnapshot(c.Status().Now, true) // it survives a crash from here on
		return encodeAnswer(EndpointAnswer{})
	}, 0, nil
}

func eurekaOptions(e config.EurekaRegistry) eureka.Options {
	us := func(d config.Duration) time.Duration { return time.Duration(d) * time.Microsecond }
	or := func(a, b string) string {
		if a != "" {
			return a
		}
		return b
	}
	o := eureka.Options{Name: e.Name, Addresses: e.Addresses, App: e.App, VIP: e.VIP, Deltas: e.Deltas, XML: e.XML, PollInterval: us(e.PollInterval), Timeout: us(e.Timeout),
		MaxResponseBytes: int64(e.MaxResponseBytes), Zone: e.Zone, UseHostnames: e.UseHostnames, MetadataKeys: map[string]string{"zone": or(e.ZoneField, "zone"), "weight": or(e.WeightField, "weight"),
			"pod": or(e.PodField, "pod"), "machine": or(e.MachineField, "machine")}}
	if r := e.Registration; r.App != "" {
		o.Registration = &eureka.Registration{App: r.App, ID: r.ID, Host: or(r.Host, r.IP), IP: r.IP, Port: r.Port, RenewInterval: us(r.RenewInterval)}
	}
	return o
}

// Estimates is what GET /intake answers.
type SamplingStatus struct {
	Now       policyapi.Microseconds         `json:"now_us"`
	Sampling  loadreport.Stats               `json:"intake"`
	Deferred  int64                          `json:"deferred"` // reports that were answered 429
	Inbox     int                            `json:"inbox"`    // waiting for the core
	StepTimes Latencies                      `json:"step_us"`
	Endpoints []coordinator.EndpointEstimate `json:"nodes"`
}

func (d *Daemon) samplingAnswer(c *coordinator.Core) []byte {
	stats, nodes := c.Estimates()
	return encodeAnswer(SamplingStatus{c.Now(), stats, d.server.deferredReports.Load(), d.inbox.Len(), Latencies{d.stepTimes.TotalCount(), d.stepTimes.ValueAtQuantile(50), d.stepTimes.ValueAtQuantile(99),
		d.stepTimes.Max()}, nodes})
}

// overviewAnswer answers with an overview: a new one if one may be made, else the last.
func (d *Daemon) overviewAnswer(c *coordinator.Core) []byte {
	began := time.Now()
	if began.Before(d.overviewAt) {
		return d.overview
	}
	d.overview = encodeAnswer(coordinator.LoggedOverview{Overview: c.Overview(), Log: d.logTail})
	d.overviewAt = began.Add(time.Duration(loadreport.OverviewInterval(policyapi.Microseconds(time.Since(began).Microseconds()))) * time.Microsecond)
	return d.overview
}
