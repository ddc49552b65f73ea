package eureka_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	emulated "porthub/emulator/eureka"
	"porthub/membership"
	"porthub/policyapi"
	"porthub/registry/eureka"
)

const (
	second policyapi.Microseconds = 1_000_000

	scaleInFleetSize = 18
	// scaleInPollInterval is the virtual time between two polls.
	scaleInPollInterval = second / 2
	// scaleInGrace is the grace period after which no gateway may send requests to an endpoint that has left.
	scaleInGrace = 3 * second
	// scaleInServes is how long an endpoint continues to answer after it has canceled its registration.
	scaleInServes = 5*second + second/2
)

// scaleInFleet is a fleet whose list comes from an emulated registry by way of the client and membership. Its time is virtual:
// each poll happens when the test requests it.
type scaleInFleet struct {
	t        *testing.T
	registry *emulated.Registry
	peer     *emulated.Peer
	options  eureka.Options
	updates  chan membership.SourceUpdate
	client   *eureka.Client
	stop     func()

	membership *membership.Membership
	now        policyapi.Microseconds
	list       []policyapi.Endpoint

	answering map[int]bool                   // endpoints that answer gateways
	leftAt    map[int]policyapi.Microseconds // when an endpoint canceled its registration
	staying   map[int]bool                   // endpoints that are to stay in the list

	latest     policyapi.Microseconds // longest time that an endpoint stayed in the list after it had left
	leastShare float64                // least fraction of the staying endpoints in the list
}

func newScaleInFleet(t *testing.T, change func(*eureka.Options)) *scaleInFleet {
	f := &scaleInFleet{
		t: t, registry: emulated.New(), updates: make(chan membership.SourceUpdate, 1), now: 1000 * second, leastShare: 1,
		answering: map[int]bool{}, leftAt: map[int]policyapi.Microseconds{}, staying: map[int]bool{},
	}
	peer, err := f.registry.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(peer.Close)
	f.peer = peer
	f.options = eureka.Options{Name: "eureka", Addresses: []string{peer.Addr}, MetadataKeys: metadataKeys, Deltas: true, PollInterval: time.Hour}
	if change != nil {
		change(&f.options)
	}
	for n := range scaleInFleetSize {
		f.add(n)
	}
	f.startCoordinator()
	t.Cleanup(func() { f.stop() })
	f.advance(5 * second)
	return f
}

// startCoordinator starts a client and a membership without any knowledge except for the last list.
func (f *scaleInFleet) startCoordinator() {
	ctx, cancel := context.WithCancel(f.t.Context())
	client := eureka.New(f.options, func(update membership.SourceUpdate) { f.updates <- update })
	done := make(chan struct{})
	go func() { defer close(done); client.Run(ctx) }()
	f.stop = func() { cancel(); <-done }
	f.client = client
	f.membership = membership.New(membership.Settings{Zones: []policyapi.Zone{"a"}, Sources: []string{"eureka"}})
	f.membership.Restore(f.now, nil, f.list)
	f.apply(<-f.updates) // the client polls once when it starts
}

func (f *scaleInFleet) restartCoordinator() {
	f.stop()
	f.startCoordinator()
}

func (f *scaleInFleet) add(n int) {
	f.registry.Put(emulated.Instance{App: "CALC", ID: fmt.Sprint("c-", n), IP: "127.0.0.1", Port: 9000 + n, Status: "UP",
		Metadata: map[string]string{"zone": "a", "vip": "calc"}})
	f.answering[n] = true
	f.staying[n] = true
}

func endpointID(n int) policyapi.EndpointID {
	return policyapi.EndpointID(fmt.Sprint("127.0.0.1:", 9000+n))
}

// leave makes an endpoint cancel its registration.
func (f *scaleInFleet) leave(n int) {
	f.registry.Remove("CALC", fmt.Sprint("c-", n))
	f.leftAt[n] = f.now
	delete(f.staying, n)
}

// advance polls the registry for the given time while endpoints answer gateways, and judges the list after each poll.
func (f *scaleInFleet) advance(period policyapi.Microseconds) {
	f.t.Helper()
	for end := f.now + period; f.now < end; {
		f.now += scaleInPollInterval
		for n := range f.answering {
			if at, left := f.leftAt[n]; left && f.now-at > scaleInServes {
				delete(f.answering, n)
				f.membership.ReportTraffic(f.now, endpointID(n), 0, 5)
				continue
			}
			f.membership.ReportTraffic(f.now, endpointID(n), 5, 0)
		}
		f.client.Fetch()
		f.apply(<-f.updates)
		f.judge()
	}
}

func (f *scaleInFleet) apply(update membership.SourceUpdate) {
	f.membership.Apply(f.now, update)
	list, changed, _ := f.membership.Step(f.now)
	if changed {
		f.list = list
	}
}

func (f *scaleInFleet) judge() {
	listed := func(n int) bool {
		return slices.ContainsFunc(f.list, func(e policyapi.Endpoint) bool { return e.ID == endpointID(n) })
	}
	for n, at := range f.leftAt {
		if listed(n) {
			f.latest = max(f.latest, f.now-at)
		}
	}
	present := 0
	for n := range f.staying {
		if listed(n) {
			present++
		}
	}
	if len(f.staying) > 0 {
		f.leastShare = min(f.leastShare, float64(present)/float64(len(f.staying)))
	}
}

// scaleInQueries are the ways to poll a registry.
var scaleInQueries = map[string]func(*eureka.Options){
	"deltas":    nil,
	"snapshots": func(o *eureka.Options) { o.Deltas = false },
	"app":       func(o *eureka.Options) { o.App = "calc" },
	"vip":       func(o *eureka.Options) { o.VIP = "calc" },
	"xml":       func(o *eureka.Options) { o.XML = true; o.Deltas = false },
}

// A scale-in through a sound registry takes effect within the grace period, however many endpoints leave and however fast: an
// endpoint that has canceled its registration has left, even while it still answers gateways.
func TestScaleInIsFollowedAtAnyPaceAndShare(t *testing.T) {
	for query, change := range scaleInQueries {
		for _, leaving := range []int{2, 7, 9, 12, 18} {
			for _, pause := range []policyapi.Microseconds{0, second / 2, second, 2 * second} {
				t.Run(fmt.Sprintf("%s/%d of 18 each %d ms", query, leaving, pause/1000), func(t *testing.T) {
					t.Parallel()
					f := newScaleInFleet(t, change)
					for n := range leaving {
						f.leave(n)
						f.advance(pause)
					}
					f.advance(10 * second)
					if f.latest >= scaleInGrace || f.leastShare < 1 {
						t.Errorf("an endpoint that had left stayed listed for %d ms and %.2f of the others were listed, want less than %d ms and all",
							f.latest/1000, f.leastShare, scaleInGrace/1000)
					}
				})
			}
		}
	}
}

// A scale-in is followed during a release, in which endpoints are replaced at the same time, and over a restart of the
// coordinator.
func TestScaleInDuringReleaseAndRestart(t *testing.T) {
	for query, change := range scaleInQueries {
		t.Run(query, func(t *testing.T) {
			t.Parallel()
			f := newScaleInFleet(t, change)
			for n := range 9 {
				f.leave(n)
				if n%2 == 0 {
					f.add(100 + n)
				}
				f.advance(second)
				if n == 4 {
					f.restartCoordinator()
				}
			}
			f.advance(10 * second)
			if f.latest >= scaleInGrace || f.leastShare < 1 {
				t.Errorf("an endpoint that had left stayed listed for %d ms and %.2f of the others were listed, want less than %d ms and all",
					f.latest/1000, f.leastShare, scaleInGrace/1000)
			}
		})
	}
}

// A registry that no longer lists many endpoints, although none of them has canceled its registration, does not remove
// endpoints that answer gateways: it has lost its state, or a partition keeps the endpoints from renewing their leases. Only the
// first ones of a gradual loss are removed, fewer than three tenths.
func TestLostRegistrationsEmptyNothing(t *testing.T) {
	half := emulated.Faults{MissingShare: 0.5}
	for name, loss := range map[string]struct {
		begin func(f *scaleInFleet)
		least float64
	}{
		"half at once":    {func(f *scaleInFleet) { f.peer.SetFaults(half) }, 1},
		"all at once":     {func(f *scaleInFleet) { f.peer.SetFaults(emulated.Faults{MissingShare: 1}) }, 1},
		"half over 10 s":  {loseGradually, 0.7},
		"expired leases":  {evictHalf, 1},
		"during scale-in": {func(f *scaleInFleet) { f.leave(17); f.advance(second); f.peer.SetFaults(half); f.leave(16) }, 1},
		"cut off":         {func(f *scaleInFleet) { f.peer.SetFaults(emulated.Faults{ErrorStatus: 503}) }, 1},
	} {
		for query, change := range scaleInQueries {
			t.Run(name+"/"+query, func(t *testing.T) {
				t.Parallel()
				f := newScaleInFleet(t, change)
				loss.begin(f)
				f.advance(30 * second)
				if f.leastShare < loss.least {
					t.Errorf("only %.2f of the endpoints were listed at the worst, want at least %.2f: none has left", f.leastShare, loss.least)
				}
				f.peer.SetFaults(emulated.Faults{})
				f.advance(5 * second)
				if f.latest >= scaleInGrace {
					t.Errorf("an endpoint that had left stayed listed for %d ms, want less than %d ms", f.latest/1000, scaleInGrace/1000)
				}
			})
		}
	}
}

// An instance that has canceled its registration and was replaced by another at the same address does not make a later loss of that one
// by the registry a cancellation.
func TestReplacedInstanceIsNotCanceled(t *testing.T) {
	for query, change := range scaleInQueries {
		t.Run(query, func(t *testing.T) {
			t.Parallel()
			f := newScaleInFleet(t, change)
			for n := range scaleInFleetSize {
				f.registry.Remove("CALC", fmt.Sprint("c-", n))
				f.registry.Put(emulated.Instance{App: "CALC", ID: fmt.Sprint("new-", n), IP: "127.0.0.1", Port: 9000 + n, Status: "UP",
					Metadata: map[string]string{"zone": "a", "vip": "calc"}})
				f.advance(scaleInPollInterval)
			}
			f.peer.SetFaults(emulated.Faults{MissingShare: 0.5})
			f.advance(10 * second)
			if f.leastShare < 1 {
				t.Errorf("only %.2f of the endpoints were listed at the worst, want all: none has left", f.leastShare)
			}
		})
	}
}

func loseGradually(f *scaleInFleet) {
	for share := 1; share <= 5; share++ {
		f.peer.SetFaults(emulated.Faults{MissingShare: float64(share) / 10})
		f.advance(2 * second)
	}
}

func evictHalf(f *scaleInFleet) {
	for n := range 9 {
		f.registry.Evict("CALC", fmt.Sprint("c-", n))
	}
}
