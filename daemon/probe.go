package daemon

import (
	"net/http"
	"time"

	"porthub/config"
	"porthub/control"
	"porthub/probe"
	"porthub/xds"
)

// probeOptions are those of our own nodes: their names are where they answer, their figures ride on a header.
func probeOptions(cfg config.Probes) probe.Options {
	return probe.Options{Timeout: time.Duration(cfg.Timeout) * time.Microsecond, MaxConcurrent: cfg.AtOnce,
		URL: func(b control.EndpointID) (string, bool) { return "http://" + string(b) + cfg.Path, true },
		Metrics: func(res *http.Response) control.LoadMetrics {
			return loads(xds.ReadOrca(res.Header.Get(xds.OrcaHeader)))
		}}
}

// loads turns figures by their ORCA names into the module's.
func loads(by map[string]float64) control.LoadMetrics {
	var out control.LoadMetrics
	for name, v := range by {
		if known, has := config.LoadNames[name]; has {
			if out == nil {
				out = control.LoadMetrics{}
			}
			out[known] = v
		}
	}
	return out
}
