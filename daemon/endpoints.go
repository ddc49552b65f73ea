package daemon

import (
	"porthub/capture"
	"porthub/coordinator"
	"porthub/membership"
	"porthub/policyapi"
	"porthub/registry/eureka"
)

// Endpoints is the response to GET /nodes: the decision of package membership on each endpoint.
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

// EndpointResponse is the response to POST /nodes/drain and /nodes/undrain. Error is empty if the command succeeded.
type EndpointResponse struct {
	Error string `json:"error,omitempty"`
}

func (d *Daemon) endpointsResponse(c *coordinator.Core) []byte {
	response := Endpoints{Now: c.Now(), Decisions: c.MembershipDecisions()}
	for i, registry := range d.registries {
		if response.Registries == nil {
			response.Registries = map[string]eureka.Stats{}
		}
		response.Registries[d.config.Registry.Eureka[i].Name] = registry.Stats()
	}
	return encodeResponse(response)
}

func (d *Daemon) drainOperation(body []byte) (operation, error) {
	request, err := readBody[EndpointRequest](body)
	if err != nil {
		return nil, err
	}
	return func(c *coordinator.Core) []byte {
		err := c.DrainEndpoint(request.Endpoint, request.Reason)
		return d.endpointResponse(c, err, capture.Command{Drain: request.Endpoint, Reason: request.Reason})
	}, nil
}

func (d *Daemon) undrainOperation(body []byte) (operation, error) {
	request, err := readBody[EndpointRequest](body)
	if err != nil {
		return nil, err
	}
	return func(c *coordinator.Core) []byte {
		err := c.UndrainEndpoint(request.Endpoint, request.Reason)
		return d.endpointResponse(c, err, capture.Command{Undrain: request.Endpoint, Reason: request.Reason})
	}, nil
}

// endpointResponse returns the response to a command that ended with err. If it succeeded, endpointResponse records it and
// saves a snapshot, so that the drain survives a crash.
func (d *Daemon) endpointResponse(c *coordinator.Core, err error, command capture.Command) []byte {
	if err != nil {
		return encodeResponse(EndpointResponse{Error: err.Error()})
	}
	d.recorder.command(command)
	d.saveSnapshot(c.Now(), true)
	return encodeResponse(EndpointResponse{})
}
