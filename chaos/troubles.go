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

// trouble is one kind of trouble: what its fields mean, how it usually is, and what it does. Those that only change
// the traffic strike by factor and dear.
type trouble struct {
	about  string
	usual  Trouble
	strike func(f *fleet, t Trouble, rng *rand.Rand, gateways []int)
}

// Troubles lists their names.
func Troubles() []string {
	var names []string
	for name := range troubles {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// About says what a trouble does and what its figures mean.
func About(name string) string { return troubles[name].about }

var troubles map[string]trouble

func init() {
	quiet := func(*fleet, Trouble, *rand.Rand, []int) {}
	troubles = map[string]trouble{
		"crash": {"part of the nodes die and come back cold after a while", Trouble{For: 6e6, Part: 0.17}, (*fleet).crash},
		"vanish": {"part of the nodes go silent, leave the list late and come back cold", Trouble{For: 8e6, Part: 0.12}, func(f *fleet, t Trouble, rng *rand.Rand, _ []int) {
			f.each(f.choose(t, rng), t, func(n *emulator.Node) {
				n.Set(func(x *emulator.Fault) { x.Hang = true })
				f.tellList(n, audit.Absent, 4*duration(f.s.ListLate))
			},
				func(n *emulator.Node) { n.Kill(); f.revive(n) })
		}},
		"hang": {"part of the nodes take reqs and answer none; the list shows nothing", Trouble{For: 8e6, Part: 0.12}, func(f *fleet, t Trouble, rng *rand.Rand, _ []int) {
			f.each(f.choose(t, rng), t, func(n *emulator.Node) { n.Set(func(x *emulator.Fault) { x.Hang = true }) },
				func(n *emulator.Node) { n.Set(func(x *emulator.Fault) { x.Hang = false }) })
		}},
		"pauses": {"part of the nodes stand still for size ms every extra s", Trouble{For: 10e6, Part: 0.3, Size: 300, Extra: 1.5}, func(f *fleet, t Trouble, rng *rand.Rand, _ []int) {
			nodes, end := f.choose(t, rng), duration(t.At+t.For)
			for f.world.Now() < end {
				for _, n := range nodes {
					n.Pause(time.Duration(t.Size * float64(time.Millisecond)))
				}
				if !f.sleep(time.Duration((0.5 + rng.Float64()) * max(0.2, t.Extra) * float64(time.Second))) {
					return
				}
			}
		}},
		"burst":      {"traffic rises to size times the usual, within extra s", Trouble{For: 5e6, Size: 1.6, Extra: 0.5}, quiet},
		"hot_caller": {"part of the gateways take size of all traffic on top, within extra s", Trouble{For: 10e6, Part: 0.07, Size: 0.15, Extra: 0.5}, quiet},
		"heavy_tail": {"extra of one kind's reqs cost size times the usual work", Trouble{For: 10e6, Size: 12, Extra: 0.02, Kind: "capacity"}, quiet},
		"shift":      {"size of all zones' traffic moves to one zone", Trouble{For: 10e6, Size: 0.4}, quiet},
		"zone_loss": {"all nodes of a zone die and come back cold; size over 0.5: its gateways too", Trouble{For: 8e6, Size: 0.6}, func(f *fleet, t Trouble, rng *rand.Rand, _ []int) {
			zone := f.zone(t, rng)
			if t.Size > 0.5 {
				for i, g := range f.gateways {
					if g.Zone == zone {
						f.restartGateway(i, duration(t.For))
					}
				}
			}
			var nodes []*emulator.Node
			for _, n := range f.nodes {
				if n.Zone == zone {
					nodes = append(nodes, n)
				}
			}
			f.each(nodes, t, f.die, f.revive)
		}},
		"zone_cut": {"one zone is cut off from the others: reqs and links alike", Trouble{For: 6e6}, func(f *fleet, t Trouble, rng *rand.Rand, _ []int) {
			zone := f.zone(t, rng)
			home := f.s.Zones[0] // the coordinator's
			away := func(on bool) {
				f.world.Cut(zone, on)
				for _, g := range f.gateways {
					if (g.Zone == zone) != (home == zone) {
						g.Away(on)
					}
				}
			}
			away(true)
			f.sleep(duration(t.For))
			away(false)
		}},
		"shrink": {"the fleet shrinks to one part in size; each leaves after extra s of drain", Trouble{For: 4e6, Size: 1.3, Extra: 3}, func(f *fleet, t Trouble, rng *rand.Rand, _ []int) {
			up := f.choose(Trouble{Part: 1}, rng)
			leave := up[:len(up)-int(math.Ceil(float64(len(up))/max(1, t.Size)))]
			for _, n := range leave {
				f.tellList(n, audit.Draining, 0)
				drain := time.Duration(t.Extra * float64(time.Second))
				// Twice the grace at least: what is sent within it is still served.
				f.tellList(n, audit.Absent, drain)
				time.AfterFunc(drain+2*duration(f.s.Rules.DrainGrace), n.Kill)
				if !f.sleep(time.Duration(float64(duration(t.For)) / float64(len(leave)))) {
					return
				}
			}
		}},
		"balancer_crash": {"part of the gateways die and come back with a standing table; size over 0.5: the coordinator is killed instead", Trouble{For: 3e6, Part: 0.3, Size: 1}, func(f *fleet, t Trouble, _ *rand.Rand, gateways []int) {
			if t.Size > 0.5 {
				if f.coord != nil {
					f.coord.kill()
					f.sleep(duration(t.For))
					f.coord.start()
				}
				return
			}
			for _, i := range gateways {
				f.restartGateway(i, duration(t.For))
			}
		}},
		"shared_slow": {"every node works size times slower", Trouble{For: 5e6, Size: 1.5}, func(f *fleet, t Trouble, _ *rand.Rand, _ []int) {
			f.each(f.nodes, t, func(n *emulator.Node) { n.Set(func(x *emulator.Fault) { x.Slow = t.Size }) },
				func(n *emulator.Node) { n.Set(func(x *emulator.Fault) { x.Slow = 0 }) })
		}},
		"counter_down": {"part of the gateways reach no coordinator and go on", Trouble{For: 8e6, Part: 0.3}, func(f *fleet, t Trouble, _ *rand.Rand, gateways []int) {
			for _, i := range gateways {
				f.gateways[i].Away(true)
			}
			f.sleep(duration(t.For))
			for _, i := range gateways {
				f.gateways[i].Away(false)
			}
		}},
		"answer_lost": {"part of the nodes do the work, but size of their answers never come back; probes are answered", Trouble{For: 8e6, Part: 0.5, Size: 0.2}, func(f *fleet, t Trouble, rng *rand.Rand, _ []int) {
			f.each(f.choose(t, rng), t, func(n *emulator.Node) { n.Set(func(x *emulator.Fault) { x.Lost = t.Size }) },
				func(n *emulator.Node) { n.Set(func(x *emulator.Fault) { x.Lost = 0 }) })
		}},
		"class_fail": {"part of the nodes fail size of one kind's reqs and serve the others; extra over 0.5: by errors, else by silence", Trouble{For: 10e6, Part: 0.4, Size: 0.9, Kind: "capacity"}, func(f *fleet, t Trouble, rng *rand.Rand, _ []int) {
			kind := cmp.Or(t.Kind, f.s.Kinds[0].Name)
			f.each(f.choose(t, rng), t, func(n *emulator.Node) {
				n.Set(func(x *emulator.Fault) { x.FailKind, x.FailPart, x.FailError = kind, t.Size, t.Extra > 0.5 })
			}, func(n *emulator.Node) { n.Set(func(x *emulator.Fault) { x.FailPart = 0 }) })
		}},
		"conn_squeeze": {"every node accepts size of its connections", Trouble{For: 10e6, Size: 0.1}, func(f *fleet, t Trouble, _ *rand.Rand, _ []int) {
			f.each(f.nodes, t, func(n *emulator.Node) { n.Set(func(x *emulator.Fault) { x.Conns = max(t.Size, 1e-3) }) },
				func(n *emulator.Node) { n.Set(func(x *emulator.Fault) { x.Conns = 0 }) })
		}},
		"flapping": {"part of the nodes fail and recover by turns of size s, extra of it down; each return is cold, and the list follows late", Trouble{For: 14e6, Part: 0.12, Size: 5, Extra: 0.4}, func(f *fleet, t Trouble, rng *rand.Rand, _ []int) {
			end := duration(t.At + t.For)
			nodes := f.choose(t, rng)
			for f.world.Now() < end {
				turn := max(0.5, t.Size) * (0.7 + 0.6*rng.Float64())
				down := time.Duration(turn * min(0.9, max(0.1, t.Extra)) * float64(time.Second))
				f.each(nodes, Trouble{For: config.Duration(down.Microseconds())}, f.die, f.revive)
				if !f.sleep(time.Duration(turn*float64(time.Second)) - down) {
					return
				}
			}
		}},
		"mass_restart": {"part of the nodes restart at once and are cold", Trouble{For: 7e5, Part: 0.5}, (*fleet).crash},
		"wrong_list": {"the list drops part of the nodes that serve, and names them again after a while", Trouble{For: 6e6, Part: 0.2}, func(f *fleet, t Trouble, rng *rand.Rand, _ []int) {
			f.each(f.choose(t, rng), t, func(n *emulator.Node) { f.tellList(n, audit.Absent, 0) }, func(n *emulator.Node) { f.tellList(n, audit.Ready, 0) })
		}},
		"broken_list": {"the list's file is half written, then empty, then gone, for a third of the time each", Trouble{For: 6e6}, func(f *fleet, t Trouble, _ *rand.Rand, _ []int) {
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
				f.sleep(duration(t.For) / 3)
			}
			f.mu.Lock()
			f.frozen = false
			f.mu.Unlock()
			_ = f.writeList()
		}},
		"late_acks": {"part of the gateways acknowledge size s late; size 0: never", Trouble{For: 10e6, Part: 0.2, Size: 1.5}, func(f *fleet, t Trouble, _ *rand.Rand, gateways []int) {
			for _, i := range gateways {
				f.gateways[i].Mute(t.Size == 0, time.Duration(t.Size*float64(time.Second)))
			}
			f.sleep(duration(t.For))
			for _, i := range gateways {
				f.gateways[i].Mute(false, 0)
			}
		}},
		"rollback": {"an operator rolls the fleet's tables back by size s, and lets them go after a while", Trouble{For: 5e6, Size: 6}, func(f *fleet, t Trouble, _ *rand.Rand, _ []int) {
			if f.mode != byCoordinator {
				return
			}
			var o daemon.Operated
			r := daemon.PinRequest{Fleet: true, Ago: policyapi.Microseconds(t.Size * 1e6), Reason: "drill"}
			if f.operate("/tables/pin", r, &o) != nil || o.Error != "" {
				return // no coordinator, or nothing so old: then there is nothing to roll back
			}
			f.sleep(duration(t.For))
			_ = f.operate("/tables/unpin", daemon.UnpinRequest{ID: o.Pin.ID, Reason: "drill"}, &o)
		}},
		"lost_folder": {"the folders of part of the gateways are removed", Trouble{For: 1e6, Part: 0.3}, func(f *fleet, _ Trouble, _ *rand.Rand, gateways []int) {
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
func (f *fleet) each(nodes []*emulator.Node, t Trouble, do, undo func(*emulator.Node)) {
	for _, n := range nodes {
		do(n)
	}
	f.sleep(duration(t.For))
	for _, n := range nodes {
		undo(n)
	}
}

func (f *fleet) crash(t Trouble, rng *rand.Rand, _ []int) {
	f.each(f.choose(t, rng), t, f.die, f.revive)
}

// die ends a node's process; the list drops it late, unless it is back by then.
func (f *fleet) die(n *emulator.Node) {
	n.Kill()
	f.pauses.Add(1)
	time.AfterFunc(duration(f.s.ListLate), func() {
		defer f.pauses.Done()
		if up, _ := n.Up(); !up {
			f.tellList(n, audit.Absent, 0)
		}
	})
}

// revive starts a node's process again, and the list names it with its start a little late.
func (f *fleet) revive(n *emulator.Node) {
	if err := n.Revive(); err == nil {
		f.tellList(n, audit.Ready, duration(f.s.ListLate)/2)
	}
}

// choose draws the nodes that a trouble strikes: those that run, of its zone if it names one.
func (f *fleet) choose(t Trouble, rng *rand.Rand) []*emulator.Node {
	var up []*emulator.Node
	for _, n := range f.nodes {
		f.mu.Lock()
		listed := f.listed[n.Addr].state == audit.Ready
		f.mu.Unlock()
		if runs, _ := n.Up(); runs && listed && (t.Zone == "" || n.Zone == t.Zone) {
			up = append(up, n)
		}
	}
	rng.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
	return up[:min(len(up), int(math.Ceil(t.Part*float64(len(up)))))]
}

func (f *fleet) chooseGateways(t Trouble, rng *rand.Rand) []int {
	var all []int
	for i, g := range f.gateways {
		if t.Zone == "" || g.Zone == t.Zone {
			all = append(all, i)
		}
	}
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), int(math.Ceil(t.Part*float64(len(all)))))]
}

func (f *fleet) zone(t Trouble, rng *rand.Rand) string {
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
func (t Trouble) rise(at time.Duration) float64 {
	from, to := duration(t.At), duration(t.At+t.For)
	if at < from || at > to {
		return 0
	}
	ramp := max(1e-3, t.Extra) * float64(time.Second)
	return min(1, float64(at-from)/ramp, float64(to-at)/ramp)
}

// factor is how many times its usual traffic comes to a gateway.
func (f *fleet) factor(i int, at time.Duration) float64 {
	times, more := 1.0, 0.0
	for k, t := range f.s.Troubles {
		switch t.What {
		case "burst":
			times *= 1 + (t.Size-1)*t.rise(at)
		case "hot_caller":
			if slices.Contains(f.struck[k], i) {
				more += t.rise(at) * t.Size * f.s.Reqs / float64(len(f.struck[k])) / f.rate(i)
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
				times *= 1 + part*(f.s.Reqs-inside)/max(inside, 1e-9)
			} else {
				times *= 1 - part
			}
		}
	}
	return times + more
}

// dear is how many times the usual work a req costs.
func (f *fleet) dear(at time.Duration, kind string, lot float64) float64 {
	for _, t := range f.s.Troubles {
		if t.What == "heavy_tail" && at >= duration(t.At) && at < duration(t.At+t.For) && kind == cmp.Or(t.Kind, f.s.Kinds[0].Name) &&
			lot < t.Extra {
			return t.Size
		}
	}
	return 1
}
