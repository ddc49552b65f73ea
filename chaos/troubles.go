package chaos

import (
	"bytes"
	"cmp"
	"encoding/json"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"porthub/audit"
	"porthub/config"
	"porthub/daemon"
	"porthub/emulator"
	"porthub/policyapi"
)

// faultType is one kind of trouble: what its fields mean, how it usually is, and what it does. Those that only change
// the traffic strike by factor and dear.
type faultType struct {
	about  string
	usual  Fault
	strike func(f *fleet, t Fault, rng *rand.Rand, gateways []int)
}

// Faults lists their names.
func FaultNames() []string {
	var names []string
	for name := range faultTypes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// About says what a trouble does and what its figures mean.
func About(name string) string { return faultTypes[name].about }

var faultTypes map[string]faultType

func init() {
	quiet := func(*fleet, Fault, *rand.Rand, []int) {}
	faultTypes = map[string]faultType{
		"crash": {"part of the nodes die and come back cold after a while", Fault{Duration: 6e6, Share: 0.17}, (*fleet).crash},
		"vanish": {"part of the nodes go silent, leave the list late and come back cold", Fault{Duration: 8e6, Share: 0.12}, func(f *fleet, t Fault, rng *rand.Rand, _ []int) {
			f.each(f.choose(t, rng), t, func(n *emulator.Endpoint) {
				n.SetFault(func(x *emulator.Fault) { x.Hang = true })
				f.tellList(n, audit.Absent, 4*duration(f.s.ListDelay))
			},
				func(n *emulator.Endpoint) { n.Kill(); f.revive(n) })
		}},
		"hang": {"part of the nodes take reqs and answer none; the list shows nothing", Fault{Duration: 8e6, Share: 0.12}, func(f *fleet, t Fault, rng *rand.Rand, _ []int) {
			f.each(f.choose(t, rng), t, func(n *emulator.Endpoint) { n.SetFault(func(x *emulator.Fault) { x.Hang = true }) },
				func(n *emulator.Endpoint) { n.SetFault(func(x *emulator.Fault) { x.Hang = false }) })
		}},
		"pauses": {"part of the nodes stand still for size ms every extra s", Fault{Duration: 10e6, Share: 0.3, Size: 300, Extra: 1.5}, func(f *fleet, t Fault, rng *rand.Rand, _ []int) {
			nodes, end := f.choose(t, rng), duration(t.At+t.Duration)
			for f.world.Now() < end {
				for _, n := range nodes {
					n.Pause(time.Duration(t.Size * float64(time.Millisecond)))
				}
				if !f.sleep(time.Duration((0.5 + rng.Float64()) * max(0.2, t.Extra) * float64(time.Second))) {
					return
				}
			}
		}},
		"burst":      {"traffic rises to size times the usual, within extra s", Fault{Duration: 5e6, Size: 1.6, Extra: 0.5}, quiet},
		"hot_caller": {"part of the gateways take size of all traffic on top, within extra s", Fault{Duration: 10e6, Share: 0.07, Size: 0.15, Extra: 0.5}, quiet},
		"heavy_tail": {"extra of one kind's reqs cost size times the usual work", Fault{Duration: 10e6, Size: 12, Extra: 0.02, Class: "capacity"}, quiet},
		"shift":      {"size of all zones' traffic moves to one zone", Fault{Duration: 10e6, Size: 0.4}, quiet},
		"zone_loss": {"all nodes of a zone die and come back cold; size over 0.5: its gateways too", Fault{Duration: 8e6, Size: 0.6}, func(f *fleet, t Fault, rng *rand.Rand, _ []int) {
			zone := f.zone(t, rng)
			if t.Size > 0.5 {
				for i, g := range f.gateways {
					if g.Zone == zone {
						f.restartGateway(i, duration(t.Duration))
					}
				}
			}
			var nodes []*emulator.Endpoint
			for _, n := range f.nodes {
				if n.Zone == zone {
					nodes = append(nodes, n)
				}
			}
			f.each(nodes, t, f.die, f.revive)
		}},
		"zone_cut": {"one zone is cut off from the others: reqs and links alike", Fault{Duration: 6e6}, func(f *fleet, t Fault, rng *rand.Rand, _ []int) {
			zone := f.zone(t, rng)
			home := f.s.Zones[0] // the coordinator's
			away := func(on bool) {
				f.world.SetPartitioned(zone, on)
				for _, g := range f.gateways {
					if (g.Zone == zone) != (home == zone) {
						g.SetIsolated(on)
					}
				}
			}
			away(true)
			f.sleep(duration(t.Duration))
			away(false)
		}},
		"shrink": {"the fleet shrinks to one part in size; each leaves after extra s of drain", Fault{Duration: 4e6, Size: 1.3, Extra: 3}, func(f *fleet, t Fault, rng *rand.Rand, _ []int) {
			up := f.choose(Fault{Share: 1}, rng)
			leave := up[:len(up)-int(math.Ceil(float64(len(up))/max(1, t.Size)))]
			for _, n := range leave {
				f.tellList(n, audit.Draining, 0)
				drain := time.Duration(t.Extra * float64(time.Second))
				// Twice the grace at least: what is sent within it is still served.
				f.tellList(n, audit.Absent, drain)
				time.AfterFunc(drain+2*duration(f.s.Rules.DrainGracePeriod), n.Kill)
				if !f.sleep(time.Duration(float64(duration(t.Duration)) / float64(len(leave)))) {
					return
				}
			}
		}},
		"balancer_crash": {"part of the gateways die and come back with a standing table; size over 0.5: the coordinator is killed instead", Fault{Duration: 3e6, Share: 0.3, Size: 1}, func(f *fleet, t Fault, _ *rand.Rand, gateways []int) {
			if t.Size > 0.5 {
				if f.coord != nil {
					f.coord.kill()
					f.sleep(duration(t.Duration))
					f.coord.start()
				}
				return
			}
			for _, i := range gateways {
				f.restartGateway(i, duration(t.Duration))
			}
		}},
		"shared_slow": {"every node works size times slower", Fault{Duration: 5e6, Size: 1.5}, func(f *fleet, t Fault, _ *rand.Rand, _ []int) {
			f.each(f.nodes, t, func(n *emulator.Endpoint) { n.SetFault(func(x *emulator.Fault) { x.Slowdown = t.Size }) },
				func(n *emulator.Endpoint) { n.SetFault(func(x *emulator.Fault) { x.Slowdown = 0 }) })
		}},
		"counter_down": {"part of the gateways reach no coordinator and go on", Fault{Duration: 8e6, Share: 0.3}, func(f *fleet, t Fault, _ *rand.Rand, gateways []int) {
			for _, i := range gateways {
				f.gateways[i].SetIsolated(true)
			}
			f.sleep(duration(t.Duration))
			for _, i := range gateways {
				f.gateways[i].SetIsolated(false)
			}
		}},
		"answer_lost": {"part of the nodes do the work, but size of their answers never come back; probes are answered", Fault{Duration: 8e6, Share: 0.5, Size: 0.2}, func(f *fleet, t Fault, rng *rand.Rand, _ []int) {
			f.each(f.choose(t, rng), t, func(n *emulator.Endpoint) { n.SetFault(func(x *emulator.Fault) { x.ResponseLoss = t.Size }) },
				func(n *emulator.Endpoint) { n.SetFault(func(x *emulator.Fault) { x.ResponseLoss = 0 }) })
		}},
		"class_fail": {"part of the nodes fail size of one kind's reqs and serve the others; extra over 0.5: by errors, else by silence", Fault{Duration: 10e6, Share: 0.4, Size: 0.9, Class: "capacity"}, func(f *fleet, t Fault, rng *rand.Rand, _ []int) {
			kind := cmp.Or(t.Class, f.s.Classes[0].Name)
			f.each(f.choose(t, rng), t, func(n *emulator.Endpoint) {
				n.SetFault(func(x *emulator.Fault) { x.FailClass, x.FailureRate, x.FailWithError = kind, t.Size, t.Extra > 0.5 })
			}, func(n *emulator.Endpoint) { n.SetFault(func(x *emulator.Fault) { x.FailureRate = 0 }) })
		}},
		"conn_squeeze": {"every node accepts size of its connections", Fault{Duration: 10e6, Size: 0.1}, func(f *fleet, t Fault, _ *rand.Rand, _ []int) {
			f.each(f.nodes, t, func(n *emulator.Endpoint) {
				n.SetFault(func(x *emulator.Fault) { x.ConnectionShare = max(t.Size, 1e-3) })
			},
				func(n *emulator.Endpoint) { n.SetFault(func(x *emulator.Fault) { x.ConnectionShare = 0 }) })
		}},
		"flapping": {"part of the nodes fail and recover by turns of size s, extra of it down; each return is cold, and the list follows late", Fault{Duration: 14e6, Share: 0.12, Size: 5, Extra: 0.4}, func(f *fleet, t Fault, rng *rand.Rand, _ []int) {
			end := duration(t.At + t.Duration)
			nodes := f.choose(t, rng)
			for f.world.Now() < end {
				turn := max(0.5, t.Size) * (0.7 + 0.6*rng.Float64())
				down := time.Duration(turn * min(0.9, max(0.1, t.Extra)) * float64(time.Second))
				f.each(nodes, Fault{Duration: config.Duration(down.Microseconds())}, f.die, f.revive)
				if !f.sleep(time.Duration(turn*float64(time.Second)) - down) {
					return
				}
			}
		}},
		"mass_restart": {"part of the nodes restart at once and are cold", Fault{Duration: 7e5, Share: 0.5}, (*fleet).crash},
		"wrong_list": {"the list drops part of the nodes that serve, and names them again after a while", Fault{Duration: 6e6, Share: 0.2}, func(f *fleet, t Fault, rng *rand.Rand, _ []int) {
			f.each(f.choose(t, rng), t, func(n *emulator.Endpoint) { f.tellList(n, audit.Absent, 0) }, func(n *emulator.Endpoint) { f.tellList(n, audit.Ready, 0) })
		}},
		"broken_list": {"the list's file is half written, then empty, then gone, for a third of the time each", Fault{Duration: 6e6}, func(f *fleet, t Fault, _ *rand.Rand, _ []int) {
			path := filepath.Join(f.dir, "nodes.json")
			f.mu.Lock()
			f.frozen = true
			f.mu.Unlock()
			whole, _ := os.ReadFile(path)
			for _, spoil := range []func(){
				func() { _ = os.WriteFile(path, whole[:len(whole)/2], 0o644) },
				func() { _ = os.WriteFile(path, nil, 0o644) },
				func() { _ = os.Remove(path) },
			} {
				spoil()
				f.sleep(duration(t.Duration) / 3)
			}
			f.mu.Lock()
			f.frozen = false
			f.mu.Unlock()
			_ = f.writeList()
		}},
		"late_acks": {"part of the gateways acknowledge size s late; size 0: never", Fault{Duration: 10e6, Share: 0.2, Size: 1.5}, func(f *fleet, t Fault, _ *rand.Rand, gateways []int) {
			for _, i := range gateways {
				f.gateways[i].SetAckFault(t.Size == 0, time.Duration(t.Size*float64(time.Second)))
			}
			f.sleep(duration(t.Duration))
			for _, i := range gateways {
				f.gateways[i].SetAckFault(false, 0)
			}
		}},
		"rollback": {"an operator rolls the fleet's tables back by size s, and lets them go after a while", Fault{Duration: 5e6, Size: 6}, func(f *fleet, t Fault, _ *rand.Rand, _ []int) {
			if f.mode != byCoordinator {
				return
			}
			var o daemon.PinAnswer
			r := daemon.PinRequest{Fleet: true, Ago: policyapi.Microseconds(t.Size * 1e6), Reason: "drill"}
			if f.operate("/tables/pin", r, &o) != nil || o.Error != "" {
				return // no coordinator, or nothing so old: then there is nothing to roll back
			}
			f.sleep(duration(t.Duration))
			_ = f.operate("/tables/unpin", daemon.UnpinRequest{ID: o.Pin.ID, Reason: "drill"}, &o)
		}},
		"lost_folder": {"the folders of part of the gateways are removed", Fault{Duration: 1e6, Share: 0.3}, func(f *fleet, _ Fault, _ *rand.Rand, gateways []int) {
			for _, i := range gateways {
				_ = os.RemoveAll(filepath.Join(f.dir, "tables", f.gateways[i].Name))
			}
		}},
	}
	registryTroubles()
}

// operate sends an operator's request to the coordinator.
func (f *fleet) operate(path string, body, into any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	res, err := (&http.Client{Timeout: 5 * time.Second}).Post("http://"+f.address()+path, "application/json", bytes.NewReader(text))
	if err != nil {
		return err
	}
	defer res.Body.Close()
	return json.NewDecoder(res.Body).Decode(into)
}

// each does something to nodes, and undoes it when the trouble's time is over.
func (f *fleet) each(nodes []*emulator.Endpoint, t Fault, do, undo func(*emulator.Endpoint)) {
	for _, n := range nodes {
		do(n)
	}
	f.sleep(duration(t.Duration))
	for _, n := range nodes {
		undo(n)
	}
}

func (f *fleet) crash(t Fault, rng *rand.Rand, _ []int) {
	f.each(f.choose(t, rng), t, f.die, f.revive)
}

// die ends a node's process; the list drops it late, unless it is back by then.
func (f *fleet) die(n *emulator.Endpoint) {
	n.Kill()
	f.pauses.Add(1)
	time.AfterFunc(duration(f.s.ListDelay), func() {
		defer f.pauses.Done()
		if up, _ := n.Running(); !up {
			f.tellList(n, audit.Absent, 0)
		}
	})
}

// revive starts a node's process again, and the list names it with its start a little late.
func (f *fleet) revive(n *emulator.Endpoint) {
	if err := n.Restart(); err == nil {
		f.tellList(n, audit.Ready, duration(f.s.ListDelay)/2)
	}
}

// choose draws the nodes that a trouble strikes: those that run, of its zone if it names one.
func (f *fleet) choose(t Fault, rng *rand.Rand) []*emulator.Endpoint {
	var up []*emulator.Endpoint
	for _, n := range f.nodes {
		f.mu.Lock()
		listed := f.listed[n.Addr].state == audit.Ready
		f.mu.Unlock()
		if runs, _ := n.Running(); runs && listed && (t.Zone == "" || n.Zone == t.Zone) {
			up = append(up, n)
		}
	}
	rng.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
	return up[:min(len(up), int(math.Ceil(t.Share*float64(len(up)))))]
}

func (f *fleet) chooseGateways(t Fault, rng *rand.Rand) []int {
	var all []int
	for i, g := range f.gateways {
		if t.Zone == "" || g.Zone == t.Zone {
			all = append(all, i)
		}
	}
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), int(math.Ceil(t.Share*float64(len(all)))))]
}

func (f *fleet) zone(t Fault, rng *rand.Rand) string {
	if t.Zone != "" {
		return t.Zone
	}
	return f.s.Zones[rng.IntN(len(f.s.Zones))]
}

func (f *fleet) restartGateway(i int, after time.Duration) {
	g := f.gateways[i]
	g.Kill()
	f.pauses.Add(1)
	go func() {
		defer f.pauses.Done()
		if f.sleep(after) {
			_ = g.Start()
		}
	}()
}

// rise is how far a trouble of the traffic has come, 0 to 1.
func (t Fault) rise(at time.Duration) float64 {
	from, to := duration(t.At), duration(t.At+t.Duration)
	if at < from || at > to {
		return 0
	}
	ramp := max(1e-3, t.Extra) * float64(time.Second)
	return min(1, float64(at-from)/ramp, float64(to-at)/ramp)
}

// factor is how many times its usual traffic comes to a gateway.
func (f *fleet) factor(i int, at time.Duration) float64 {
	times, more := 1.0, 0.0
	for k, t := range f.s.Faults {
		switch t.Name {
		case "burst":
			times *= 1 + (t.Size-1)*t.rise(at)
		case "hot_caller":
			if slices.Contains(f.struck[k], i) {
				more += t.rise(at) * t.Size * f.s.RequestRate / float64(len(f.struck[k])) / f.rate(i)
			}
		case "shift":
			zone := cmp.Or(t.Zone, f.s.Zones[len(f.s.Zones)-1])
			inside := 0.0
			for j, g := range f.gateways {
				if g.Zone == zone {
					inside += f.rate(j)
				}
			}
			if part := t.Size * min(1, 4*t.rise(at)); f.gateways[i].Zone == zone {
				times *= 1 + part*(f.s.RequestRate-inside)/max(inside, 1e-9)
			} else {
				times *= 1 - part
			}
		}
	}
	return times + more
}

// dear is how many times the usual work a req costs.
func (f *fleet) dear(at time.Duration, kind string, lot float64) float64 {
	for _, t := range f.s.Faults {
		if t.Name == "heavy_tail" && at >= duration(t.At) && at < duration(t.At+t.Duration) && kind == cmp.Or(t.Class, f.s.Classes[0].Name) &&
			lot < t.Extra {
			return t.Size
		}
	}
	return 1
}
