package xds

import (
	"fmt"
	"math"
	"strings"

	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/types/known/anypb"

	"porthub/tables"
)

// LineType is the type URL of one line, as LEDS has it; DeltaPath is where DeltaDiscoveryRequests are posted.
const (
	LineType  = "type.googleapis.com/envoy.config.endpoint.v3.LbEndpoint"
	DeltaPath = "/envoy.service.endpoint.v3.LocalityEndpointDiscoveryService/DeltaLocalityEndpoints"
)

// A line's resource name is kind/zone/address; its version tells weight and whether it is withheld.
func lineName(kind string, l tables.Line) string {
	return kind + "/" + string(l.Zone) + "/" + string(l.Backend)
}

func lineVersion(l tables.Line) string {
	if l.Withheld {
		return fmt.Sprintf("%d.w", weight(l))
	}
	return fmt.Sprintf("%d", weight(l))
}

func weight(l tables.Line) uint32 {
	return uint32(min(max(1, math.Round(l.Weight*WeightScale)), 1<<31))
}

// LineVersions are the names and versions of all lines of a snapshot, as initial_resource_versions has them.
func LineVersions(s tables.Snapshot) map[string]string {
	out := map[string]string{}
	for _, c := range s.Clusters {
		for _, l := range c.Lines {
			out[lineName(c.Kind, l)] = lineVersion(l)
		}
	}
	return out
}

// Delta is what leads a gateway that holds the lines given to a snapshot's clusters.
func Delta(version, nonce string, held map[string]string, to tables.Snapshot) (*discoveryv3.DeltaDiscoveryResponse, error) {
	r := &discoveryv3.DeltaDiscoveryResponse{SystemVersionInfo: version, TypeUrl: LineType, Nonce: nonce}
	seen := map[string]bool{}
	for _, c := range to.Clusters {
		for _, l := range c.Lines {
			name, v := lineName(c.Kind, l), lineVersion(l)
			if seen[name] = true; held[name] == v {
				continue
			}
			e, err := lbEndpoint(l)
			if err != nil {
				return nil, err
			}
			res, err := anypb.New(e)
			if err != nil {
				return nil, err
			}
			r.Resources = append(r.Resources, &discoveryv3.Resource{Name: name, Version: v, Resource: res})
		}
	}
	for name := range held {
		if !seen[name] {
			r.RemovedResources = append(r.RemovedResources, name)
		}
	}
	return r, nil
}

// ApplyDelta makes the clusters that a delta leads to, of the kinds given and in their order. What it was made from
// stays as it is. A resource that can't be read is an error and changes nothing.
func ApplyDelta(kinds []string, held tables.Snapshot, d *discoveryv3.DeltaDiscoveryResponse) ([]tables.Cluster, error) {
	lines := map[string]tables.Line{}
	for _, c := range held.Clusters {
		for _, l := range c.Lines {
			lines[lineName(c.Kind, l)] = l
		}
	}
	for _, name := range d.RemovedResources {
		delete(lines, name)
	}
	for _, res := range d.Resources {
		parts := strings.SplitN(res.Name, "/", 3)
		e := &endpointv3.LbEndpoint{}
		if len(parts) != 3 {
			return nil, fmt.Errorf("%w: resource name %q is not kind/zone/address", ErrNotXDS, res.Name)
		}
		if err := res.GetResource().UnmarshalTo(e); err != nil {
			return nil, fmt.Errorf("%w: resource %q: %v", ErrNotXDS, res.Name, err)
		}
		lines[res.Name] = readLine(e, parts[2], parts[1])
	}
	out := make([]tables.Cluster, len(kinds))
	index := map[string]int{}
	for i, k := range kinds {
		out[i].Kind, index[k] = k, i
	}
	for name, l := range lines {
		kind, _, _ := strings.Cut(name, "/")
		i, known := index[kind]
		if !known {
			return nil, fmt.Errorf("%w: resource %q is of no known kind", ErrNotXDS, name)
		}
		out[i].Lines = append(out[i].Lines, l)
	}
	for i := range out {
		out[i].Sort()
	}
	return out, nil
}
