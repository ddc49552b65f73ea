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

// The subsets of a group contain each endpoint exactly once and have nearly the same total weight.
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
		t.Errorf("%d of 56 endpoints are used, want all; the total weights are from %.1f to %.1f, want a ratio of 1.2 at most",
			len(used), least, most)
	}
	for endpoint, n := range used {
		if n != 1 {
			t.Errorf("%s is in %d subsets, want 1", endpoint, n)
		}
	}
}

// Endpoints that are no longer planned are removed from a subset table. Others are added only once few are left, since each
// costs a line.
func TestSubsetIsFilledUpWhenFewAreLeft(t *testing.T) {
	candidates := subsetTestCandidates(56)
	present := map[policyapi.EndpointID]float64{}
	for _, line := range chooseSubset(candidates, nil, 2) {
		present[line.endpoint] = line.weight
	}
	filled := 0
	for range 2 * subsetLines {
		for endpoint := range present { // one endpoint drains
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
			t.Fatalf("the subset has %d lines with %d endpoints left, want %d", len(lines), len(present), want)
		}
		for _, line := range lines {
			present[line.endpoint] = line.weight
		}
	}
	if filled == 0 {
		t.Error("no endpoints were ever added to the subset")
	}
}

// More proxies connect from other coordinators than can be sent complete tables in time. They get subset tables first, which
// contain only warmed-up endpoints and together all of these, and complete tables once all proxies are bound. A proxy with only
// its default table waits for the complete one.
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
			t.Fatal("some proxies are still not bound after 60 s")
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
				t.Fatalf("a subset table has %s, which is not warmed up", endpoint)
			}
		}
	}
	if subsets < 1500 || len(endpoints) != len(warm) || c.streams[1800].replica.subset > 0 {
		t.Errorf("%d proxies have subset tables with %d endpoints, want at least 1500 with 48; the last one has subset %d, want 0",
			subsets, len(endpoints), c.streams[1800].replica.subset)
	}
	for range 100 {
		now += 2 * second
		c.deliverPlan(now, plan)
		c.acknowledgeAll()
	}
	if left := len(c.subsetStreams()); left > 0 {
		t.Errorf("%d proxies still have subset tables, want none", left)
	}
}
