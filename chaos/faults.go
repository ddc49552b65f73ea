package chaos

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// faultType is a kind of fault: what it does, the values of a Fault that are usual for it, and how it is injected.
type faultType struct {
	about    string
	defaults Fault
	// inject injects the fault and returns when it is over. Nil: it only changes the traffic, see trafficFactor and
	// workFactor.
	inject func(injection)
}

// injection is a fault that is injected into a fleet.
type injection struct {
	Fault
	fleet    *fleet
	rng      *rand.Rand // of this fault alone
	gateways []int      // that it affects, if it affects any
}

// FaultNames lists the names of the faults.
func FaultNames() []string { return slices.Sorted(maps.Keys(faultTypes)) }

// DescribeFault describes what a fault does and what its values mean; empty for an unknown name.
func DescribeFault(name string) string { return faultTypes[name].about }

// faultTypes are all faults by their names, which scenario files use. It is set by init, as the faults refer to it.
var faultTypes map[string]faultType

func init() {
	faultTypes = map[string]faultType{}
	maps.Copy(faultTypes, endpointFaults())
	maps.Copy(faultTypes, trafficFaults())
	maps.Copy(faultTypes, gatewayFaults())
	maps.Copy(faultTypes, listFaults())
	for name, fault := range registryFaults {
		faultTypes[name] = faultType{fault.about, Fault{Duration: 10e6}, fault.inject}
	}
}

func endpointFaults() map[string]faultType {
	return map[string]faultType{
		"crash": {"part of the endpoints crash and are restarted after a while; they have to warm up",
			Fault{Duration: 6e6, Share: 0.17}, injection.crash},
		"mass_restart": {"part of the endpoints restart at once and have to warm up",
			Fault{Duration: 7e5, Share: 0.5}, injection.crash},
		"vanish": {"part of the endpoints go silent, leave the list late and are restarted",
			Fault{Duration: 8e6, Share: 0.12}, injection.vanish},
		"hang": {"part of the endpoints accept requests and answer none; the list shows nothing",
			Fault{Duration: 8e6, Share: 0.12}, injection.hang},
		"pauses": {"part of the endpoints pause for size ms every extra s",
			Fault{Duration: 10e6, Share: 0.3, Size: 300, Extra: 1.5}, injection.pause},
		"flapping": {"part of the endpoints crash and are restarted by turns of size s, extra of it down; the list follows late",
			Fault{Duration: 14e6, Share: 0.12, Size: 5, Extra: 0.4}, injection.flap},
		"shared_slow": {"every endpoint works size times slower",
			Fault{Duration: 5e6, Size: 1.5}, injection.slowDown},
		"answer_lost": {"part of the endpoints do the work, but size of their responses are lost; health checks are answered",
			Fault{Duration: 8e6, Share: 0.5, Size: 0.2}, injection.loseResponses},
		"class_fail": {"part of the endpoints fail size of one class's requests and serve the others; extra over 0.5: by errors, else by silence",
			Fault{Duration: 10e6, Share: 0.4, Size: 0.9, Class: "capacity"}, injection.failClass},
		"conn_squeeze": {"every endpoint accepts size of its connections",
			Fault{Duration: 10e6, Size: 0.1}, injection.limitConnections},
		"zone_loss": {"all endpoints of a zone crash and are restarted; size over 0.5: its gateways too",
			Fault{Duration: 8e6, Size: 0.6}, injection.loseZone},
		"zone_cut": {"one zone is partitioned from the others: requests and links to the coordinator alike",
			Fault{Duration: 6e6}, injection.partitionZone},
		"shrink": {"the fleet shrinks to one part in size; each endpoint is removed after extra s of draining",
			Fault{Duration: 4e6, Size: 1.3, Extra: 3}, injection.shrink},
	}
}

func trafficFaults() map[string]faultType {
	return map[string]faultType{
		"burst": {"traffic rises to size times the usual, within extra s",
			Fault{Duration: 5e6, Size: 1.6, Extra: 0.5}, nil},
		"hot_caller": {"part of the gateways receive size of all traffic on top, within extra s",
			Fault{Duration: 10e6, Share: 0.07, Size: 0.15, Extra: 0.5}, nil},
		"heavy_tail": {"extra of one class's requests take size times the usual work",
			Fault{Duration: 10e6, Size: 12, Extra: 0.02, Class: "capacity"}, nil},
		"shift": {"size of all zones' traffic moves to one zone",
			Fault{Duration: 10e6, Size: 0.4}, nil},
	}
}

func gatewayFaults() map[string]faultType {
	return map[string]faultType{
		"balancer_crash": {"part of the gateways crash and are restarted with an initial table; size over 0.5: the coordinator is killed instead",
			Fault{Duration: 3e6, Share: 0.3, Size: 1}, injection.crashGateways},
		"counter_down": {"part of the gateways reach no coordinator and go on",
			Fault{Duration: 8e6, Share: 0.3}, injection.isolateGateways},
		"late_acks": {"part of the gateways acknowledge size s late; size 0: never",
			Fault{Duration: 10e6, Share: 0.2, Size: 1.5}, injection.delayAcks},
		"lost_folder": {"the directories of part of the gateways are removed",
			Fault{Duration: 1e6, Share: 0.3}, injection.removeTableDirs},
		"rollback": {"an operator rolls the fleet's tables back by size s, and ends that after a while",
			Fault{Duration: 5e6, Size: 6}, injection.rollBack},
	}
}

func listFaults() map[string]faultType {
	return map[string]faultType{
		"wrong_list": {"the list drops part of the endpoints though they serve, and names them again after a while",
			Fault{Duration: 6e6, Share: 0.2}, injection.dropFromList},
		"broken_list": {"the list's file is half written, then empty, then gone, for a third of the time each",
			Fault{Duration: 6e6}, injection.breakList},
	}
}

// seconds converts a figure of a scenario.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
