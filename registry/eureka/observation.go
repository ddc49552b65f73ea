package eureka

import (
	"net"
	"strconv"
	"strings"

	"porthub/membership"
	"porthub/policyapi"
)

const (
	maxPort   = 65535
	maxWeight = 1e6

	microsecondsPerMillisecond = 1000
	microsecondsPerSecond      = 1_000_000
)

// Observations converts the instances of a registry to observations. It skips instances without an address and the client's
// own registration.
func (o Options) Observations(instances []Instance) (observations []membership.Observation) {
	for _, instance := range instances {
		address, ok := o.address(instance)
		if ok && !o.isOwnRegistration(instance) {
			observations = append(observations, o.observation(address, instance))
		}
	}
	return observations
}

// address returns the host and port of an instance. The result ok is false if the instance has no valid address.
func (o Options) address(instance Instance) (address string, ok bool) {
	host := instance.IP
	if o.UseHostnames || host == "" {
		host = instance.Host
	}
	if host == "" || instance.Port <= 0 || instance.Port > maxPort {
		return "", false
	}
	return net.JoinHostPort(host, strconv.Itoa(instance.Port)), true
}

// isOwnRegistration reports whether an instance is the client's own registration.
func (o Options) isOwnRegistration(instance Instance) bool {
	own := o.Registration
	return own != nil && instance.App == strings.ToUpper(own.App) && instance.ID == own.ID
}

// observation converts an instance to an observation. Metadata that is missing or invalid gets its default.
func (o Options) observation(address string, instance Instance) membership.Observation {
	metadata := func(name string) string { return instance.Metadata[o.MetadataKeys[name]] }
	observation := membership.Observation{
		Endpoint:       policyapi.EndpointID(address),
		Instance:       instance.ID,
		Zone:           policyapi.Zone(metadata("zone")),
		Weight:         1,
		MachineType:    policyapi.MachineType(metadata("machine")),
		Status:         instance.status(),
		ChangedAt:      fromMilliseconds(instance.DirtyAt),
		StartedAt:      fromMilliseconds(max(instance.ServiceUpAt, 0)),
		LeaseRenewedAt: fromMilliseconds(instance.RenewedAt),
		LeaseDuration:  policyapi.Microseconds(instance.LeaseSeconds) * microsecondsPerSecond,
	}
	if observation.Zone == "" {
		observation.Zone = policyapi.Zone(o.Zone)
	}
	if weight, err := strconv.ParseFloat(metadata("weight"), 64); err == nil && weight > 0 && weight < maxWeight {
		observation.Weight = weight
	}
	if pod, err := strconv.Atoi(metadata("pod")); err == nil {
		observation.Pod = policyapi.PodID(pod)
	}
	return observation
}

// fromMilliseconds converts milliseconds to microseconds.
func fromMilliseconds(ms int64) policyapi.Microseconds {
	return policyapi.Microseconds(ms) * microsecondsPerMillisecond
}

// status returns the effective status of an instance: the status that an operator has set at the registry, if any, overrides
// the status that the instance reports.
func (i Instance) status() membership.Status {
	status := i.Status
	if i.OverriddenStatus != "" && i.OverriddenStatus != "UNKNOWN" {
		status = i.OverriddenStatus
	}
	switch status {
	case "UP":
		return membership.Up
	case "STARTING":
		return membership.Starting
	case "OUT_OF_SERVICE":
		return membership.OutOfService
	case "DOWN":
		return membership.Down
	default:
		return membership.Unknown
	}
}
