package daemon

import (
	"net/http"
	"time"

	"porthub/config"
	"porthub/healthcheck"
	"porthub/policyapi"
	"porthub/xds"
)

// healthCheckOptions are those of our own nodes: their names are where they answer, their figures ride on a header.
func healthCheckOptions(cfg config.HealthChecks) healthcheck.Options {
	return healthcheck.Options{Timeout: time.Duration(cfg.Timeout) * time.Microsecond, MaxConcurrent: cfg.Concurrency,
		URL: func(b policyapi.EndpointID) (string, bool) { return "http://" + string(b) + cfg.Path, true },
		Metrics: func(res *http.Response) policyapi.LoadMetrics {
			return loadMetrics(xds.ParseORCA(res.Header.Get(xds.ORCAHeader)))
		}}
}

// loadMetrics turns figures by their ORCA names into the module's.
func loadMetrics(by map[string]float64) policyapi.LoadMetrics {
	var out policyapi.LoadMetrics
	for name, v := range by {
		if known, has := config.MetricNames[name]; has {
			if out == nil {
				out = policyapi.LoadMetrics{}
			}
			out[known] = v
		}
	}
	return out
}
