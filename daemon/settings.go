package daemon

import (
	"cmp"
	"net/http"
	"strconv"

	"porthub/config"
	"porthub/coordinator"
	"porthub/healthcheck"
	"porthub/policyapi"
	"porthub/registry/eureka"
	"porthub/xds"
)

// coreSettings returns the core's settings for a configuration. The epoch identifies this start by its time.
func coreSettings(c config.Config, now policyapi.Microseconds) coordinator.Settings {
	var sources []string
	for _, registry := range c.Registry.Eureka {
		sources = append(sources, registry.Name)
	}
	s := coordinator.Settings{
		Start:          c.Start(),
		Epoch:          strconv.FormatInt(int64(now), 36),
		SilenceTimeout: policyapi.Microseconds(c.Gateways.SilenceTimeout),
		SolverEnabled:  c.Solver.Enabled,
		MaxReportLines: float64(c.Reports.SamplingLimit),
		Sources:        sources,
		Build:          Build(),
		SyncDocuments:  c.Delivery.Files.Sync,
	}
	s.Degradation, s.Fallback = c.DegradationSettings()
	return s
}

func eurekaOptions(c config.EurekaRegistry) eureka.Options {
	o := eureka.Options{
		Name:             c.Name,
		Addresses:        c.Addresses,
		App:              c.App,
		VIP:              c.VIP,
		Deltas:           c.Deltas,
		XML:              c.XML,
		PollInterval:     duration(c.PollInterval),
		Timeout:          duration(c.Timeout),
		MaxResponseBytes: int64(c.MaxResponseBytes),
		Zone:             c.Zone,
		UseHostnames:     c.UseHostnames,
		MetadataKeys: map[string]string{
			"zone":    cmp.Or(c.ZoneField, "zone"),
			"weight":  cmp.Or(c.WeightField, "weight"),
			"pod":     cmp.Or(c.PodField, "pod"),
			"machine": cmp.Or(c.MachineField, "machine"),
		},
	}
	if r := c.Registration; r.App != "" {
		o.Registration = &eureka.Registration{App: r.App, ID: r.ID, Host: cmp.Or(r.Host, r.IP), IP: r.IP, Port: r.Port, RenewInterval: duration(r.RenewInterval)}
	}
	return o
}

// healthCheckOptions returns the options of health checks over HTTP: an endpoint's ID is its address, and its response carries
// load metrics in the ORCA header.
func healthCheckOptions(c config.HealthChecks) healthcheck.Options {
	return healthcheck.Options{
		Timeout:       duration(c.Timeout),
		MaxConcurrent: c.Concurrency,
		URL: func(endpoint policyapi.EndpointID) (string, bool) {
			return "http://" + string(endpoint) + c.Path, true
		},
		Metrics: func(response *http.Response) policyapi.LoadMetrics {
			return loadMetrics(xds.ParseORCA(response.Header.Get(xds.ORCAHeader)))
		},
	}
}

// loadMetrics converts metrics from their ORCA names to the decision module's names and drops all others. It returns nil if
// there are none.
func loadMetrics(orca map[string]float64) policyapi.LoadMetrics {
	var metrics policyapi.LoadMetrics
	for name, value := range orca {
		moduleName, ok := config.MetricNames[name]
		if !ok {
			continue
		}
		if metrics == nil {
			metrics = policyapi.LoadMetrics{}
		}
		metrics[moduleName] = value
	}
	return metrics
}
