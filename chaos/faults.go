package chaos

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// faultType describes a type of fault, with the defaults for a run with that fault alone.
type faultType struct {
	description string
	defaults    Fault
	// inject injects the fault and returns when the fault has ended. It is nil for faults that only change the traffic, which
	// trafficFactor and workFactor implement.
	inject func(injection)
}

// injection is the injection of a fault into a fleet.
type injection struct {
	Fault
	fleet    *fleet
	rng      *rand.Rand // used by this fault only
	gateways []int      // affected gateways, if the fault affects gateways
}

// FaultNames returns the sorted names of all faults.
func FaultNames() []string { return slices.Sorted(maps.Keys(faultTypes)) }

// DescribeFault describes what a fault does and what its parameters mean. It returns an empty string for an unknown name.
func DescribeFault(name string) string { return faultTypes[name].description }

// faultTypes holds all faults by the names that scenario files use. It is filled by init.
var faultTypes map[string]faultType

func init() {
	faultTypes = map[string]faultType{}
	maps.Copy(faultTypes, endpointFaults())
	maps.Copy(faultTypes, trafficFaults())
	maps.Copy(faultTypes, gatewayFaults())
	maps.Copy(faultTypes, listFaults())
	for name, fault := range registryFaults {
		faultTypes[name] = faultType{fault.description, Fault{Duration: 10e6}, fault.inject}
	}
}

func endpointFaults() map[string]faultType {
	return map[string]faultType{
		"crash": {"a fraction (part) of the endpoints crash and are restarted when the fault ends; they have to warm up",
			Fault{Duration: 6e6, Share: 0.17}, injection.crash},
		"mass_restart": {"a fraction (part) of the endpoints restart at the same time and have to warm up",
			Fault{Duration: 7e5, Share: 0.5}, injection.crash},
		"vanish": {"a fraction (part) of the endpoints stop responding, are removed from the list late and are restarted",
			Fault{Duration: 8e6, Share: 0.12}, injection.vanish},
		"hang": {"a fraction (part) of the endpoints accept requests and health checks but answer none; they stay ready in the list",
			Fault{Duration: 8e6, Share: 0.12}, injection.hang},
		"pauses": {"a fraction (part) of the endpoints pause for size ms about every extra s",
			Fault{Duration: 10e6, Share: 0.3, Size: 300, Extra: 1.5}, injection.pause},
		"flapping": {"a fraction (part) of the endpoints crash and restart in cycles of about size s, down for a fraction (extra) of each; the list lags",
			Fault{Duration: 14e6, Share: 0.12, Size: 5, Extra: 0.4}, injection.flap},
		"shared_slow": {"every endpoint takes size times as long for its work",
			Fault{Duration: 5e6, Size: 1.5}, injection.slowDown},
		"answer_lost": {"a fraction (part) of the endpoints execute requests but lose a fraction (size) of the responses, except to health checks",
			Fault{Duration: 8e6, Share: 0.5, Size: 0.2}, injection.loseResponses},
		"class_fail": {"a fraction (part) of the endpoints fail a fraction (size) of one class's requests only: with errors if extra is above 0.5, else without response",
			Fault{Duration: 10e6, Share: 0.4, Size: 0.9, Class: "capacity"}, injection.failClass},
		"conn_squeeze": {"the connection limit of every endpoint drops to a fraction (size) of its usual value",
			Fault{Duration: 10e6, Size: 0.1}, injection.limitConnections},
		"zone_loss": {"all endpoints of a zone crash and are restarted when the fault ends; if size is above 0.5, its gateways too",
			Fault{Duration: 8e6, Size: 0.6}, injection.loseZone},
		"zone_cut": {"one zone is partitioned from the others, for requests and for connections to the coordinator",
			Fault{Duration: 6e6}, injection.partitionZone},
		"shrink": {"the fleet shrinks permanently to 1/size of its endpoints; each removed endpoint drains for extra s first",
			Fault{Duration: 4e6, Size: 1.3, Extra: 3}, injection.shrink},
	}
}

func trafficFaults() map[string]faultType {
	return map[string]faultType{
		"burst": {"traffic rises to size times the usual rate within extra s",
			Fault{Duration: 5e6, Size: 1.6, Extra: 0.5}, nil},
		"hot_caller": {"a fraction (part) of the gateways together receive size times the usual total traffic in addition, rising within extra s",
			Fault{Duration: 10e6, Share: 0.07, Size: 0.15, Extra: 0.5}, nil},
		"heavy_tail": {"a fraction (extra) of one class's requests take size times the usual work",
			Fault{Duration: 10e6, Size: 12, Extra: 0.02, Class: "capacity"}, nil},
		"shift": {"a fraction (size) of the other zones' traffic moves to one zone within extra/4 s",
			Fault{Duration: 10e6, Size: 0.4}, nil},
	}
}

func gatewayFaults() map[string]faultType {
	return map[string]faultType{
		"balancer_crash": {"a fraction (part) of the gateways crash and are restarted with initial tables; if size is above 0.5, the coordinator instead",
			Fault{Duration: 3e6, Share: 0.3, Size: 1}, injection.crashGateways},
		"counter_down": {"a fraction (part) of the gateways can't reach the coordinator and keep serving",
			Fault{Duration: 8e6, Share: 0.3}, injection.isolateGateways},
		"late_acks": {"a fraction (part) of the gateways acknowledge tables size s late; if size is 0, never",
			Fault{Duration: 10e6, Share: 0.2, Size: 1.5}, injection.delayAcks},
		"lost_folder": {"the table directories of a fraction (part) of the gateways are removed",
			Fault{Duration: 1e6, Share: 0.3}, injection.removeTableDirs},
		"rollback": {"an operator rolls the fleet's tables back by size s and ends the rollback when the fault ends",
			Fault{Duration: 5e6, Size: 6}, injection.rollBack},
	}
}

func listFaults() map[string]faultType {
	return map[string]faultType{
		"wrong_list": {"the list omits a fraction (part) of the endpoints although they serve, until the fault ends",
			Fault{Duration: 6e6, Share: 0.2}, injection.dropFromList},
		"broken_list": {"the list's file is truncated, then empty, then missing, for a third of the time each",
			Fault{Duration: 6e6}, injection.breakList},
	}
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
