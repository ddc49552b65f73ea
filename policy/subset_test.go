package policy

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"porthub/policyapi"
)

func subsetTestCandidates(count int) (lines []tableLine) {
	for i := range count {
		lines = append(lines, tableLine{policyapi.EndpointID(fmt.Sprintf("e-%02d", i)), 0.5 + float64(i%10)/10})
	}
	return lines
}

// The subsets of a group have each endpoint once and nearly the same total weight.
func TestSubsetsShareEndpointsEvenly(t *testing.T) {
	candidates := subsetTestCandidates(56)
	used, least, most := map[policyapi.EndpointID]int{}, math.Inf(1), 0.0
	for subset := 1; subset <= 7; subset++ {
		total := 0.0
		for _, line := range chooseSubset(candidates, nil, subset) {
			used[line.endpoint]++
			total += line.weight
		}
		least, most = min(least, total), max(most, total)
	}
	if len(used) != 56 || most > 1.2*least {
		t.Errorf("%d of 56 endpoints are used, total weights from %.1f to %.1f", len(used), least, most)
	}
	for endpoint, n := range used {
		if n != 1 {
			t.Errorf("%s is in %d subsets", endpoint, n)
		}
	}
}

// A subset table loses the endpoints that are no longer planned. Others come in only once few are left, as each costs a line.
func TestSubsetIsFilledUpWhenFewAreLeft(t *testing.T) {
	candidates := subsetTestCandidates(56)
	present := map[policyapi.EndpointID]float64{}
	for _, line := range chooseSubset(candidates, nil, 2) {
		present[line.endpoint] = line.weight
	}
	filled := 0
	for range 2 * subsetLines {
		for endpoint := range present { // one of them drains
			delete(present, endpoint)
			candidates = slices.DeleteFunc(candidates, func(line tableLine) bool { return line.endpoint == endpoint })
			break
		}
		lines := chooseSubset(candidates, present, 2)
		want := len(present)
		if want < minSubsetLines {
			want = subsetLines
			filled++
		}
		if len(lines) != want {
			t.Fatalf("%d lines with %d left, want %d", len(lines), len(present), want)
		}
		for _, line := range lines {
			present[line.endpoint] = line.weight
		}
	}
	if filled == 0 {
		t.Error("it was never filled up")
	}
}

// More proxies come from other coordinators than their complete tables pass the channel in time: they get subset tables of
// warmed-up endpoints, spread over all of these, and complete tables once all have got one. Proxies with only their default
// table wait for the complete one.
func TestCrowdGetsSubsetTablesFirst(t *testing.T) {
	c := newFastChannel()
	plan := newPlan(1, 64)
	warm := plan.lines(0)[:48]
	plan.tables[0][0].subsetCandidates = warm
	connectCrowd(c, plan, 0, 0, 1800)
	c.handleEvent(0, policyapi.ProxyConnected{Proxy: 1800, HasDefaultTableOnly: true})
	plan.proxyGroups[1800] = 0
	now := micros(0)
	for ; c.boundCount() < 1801; now += second / 10 {
		c.deliverPlan(now, plan)
		c.acknowledgeAll()
		if now > 60*second {
			t.Fatal("the proxies are not bound")
		}
	}
	subsets, endpoints := 0, map[policyapi.EndpointID]int{}
	for _, s := range c.streams {
		if s.replica.subset == 0 {
			continue
		}
		subsets++
		for endpoint := range s.replica.tables[0].lines {
			endpoints[endpoint]++
			if !slices.ContainsFunc(warm, func(line tableLine) bool { return line.endpoint == endpoint }) {
				t.Fatalf("%s is not warmed up", endpoint)
			}
		}
	}
	if subsets < 1500 || len(endpoints) != len(warm) || c.streams[1800].replica.subset > 0 {
		t.Errorf("%d proxies have subset tables, with %d endpoints; the one with its default table has subset %d", subsets, len(endpoints), c.streams[1800].replica.subset)
	}
	for range 100 {
		now += 2 * second
		c.deliverPlan(now, plan)
		c.acknowledgeAll()
	}
	if left := len(c.subsetStreams()); left > 0 {
		t.Errorf("%d proxies still have subset tables", left)
	}
}
