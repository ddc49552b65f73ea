package policy

import (
	"cmp"
	"slices"

	"porthub/policyapi"
)

const (
	// subsetLines is the number of lines of a subset table.
	subsetLines = 8
	// minSubsetLines is the number of lines below which lines are added to a subset table again.
	minSubsetLines = subsetLines / 2
	// crowdGraceDivisor divides the drain grace period: if complete tables for all new proxies take the channel longer than
	// the quotient, the new proxies are a crowd.
	crowdGraceDivisor = 4
	// wideningShare is the share of the routine limit up to which proxies get complete tables in place of subset tables.
	wideningShare = 0.5
)

// isCrowded reports whether sending complete tables to all new proxies would take the channel too long: the tables that
// they have from other instances must be replaced within the drain grace period, and before the proxies reconnect
// elsewhere. Proxies that have only their default table do not count: that table is small, and was read from the list.
func (c *channel) isCrowded() bool {
	lines := c.turns.queued
	for _, s := range c.newStreams() {
		if !s.hasDefaultTableOnly {
			lines += c.messageLines() + c.planCost(c.target.proxyGroups[s.proxy])
		}
	}
	return lines*float64(second) > c.linesPerSecond*float64(c.drainGracePeriod/crowdGraceDivisor) && c.linesPerSecond > 0
}

// planCost is the cost of binding a proxy to complete tables of a group, without the message overhead.
func (c *channel) planCost(group groupID) (lines float64) {
	for _, plan := range c.target.tables[group] {
		lines += float64(len(plan.lines)+len(c.admissions)) + bindLines
	}
	return lines
}

// plannedLines returns the lines that one of a replica's tables should have. If few endpoints have warmed up, a subset table
// is the complete table.
func (c *channel) plannedLines(r *replica, set int) []tableLine {
	plan := c.target.tables[r.group][set]
	if r.subset == 0 || len(plan.subsetCandidates) <= subsetLines {
		return plan.lines
	}
	return chooseSubset(plan.subsetCandidates, r.tables[set].lines, r.subset)
}

// subsetCount returns the number of subsets that a group's endpoints are divided into.
func (c *channel) subsetCount(group groupID) (count int) {
	for _, plan := range c.target.tables[group] {
		count = max(count, len(plan.subsetCandidates)/subsetLines)
	}
	return max(1, count)
}

// chooseSubset returns the lines of a subset table. It retains the present lines, and adds others only if few are left.
// Of the candidates sorted by weight, each of n subsets takes every n-th, so that all have nearly the same total weight.
func chooseSubset(candidates []tableLine, present map[policyapi.EndpointID]float64, subset int) (lines []tableLine) {
	byWeight := slices.Clone(candidates)
	slices.SortStableFunc(byWeight, func(a, b tableLine) int { return cmp.Compare(b.weight, a.weight) })
	isPresent := func(line tableLine) bool {
		_, has := present[line.endpoint]
		return has
	}
	for _, line := range candidates {
		if isPresent(line) {
			lines = append(lines, line)
		}
	}
	if len(lines) >= minSubsetLines {
		return lines
	}
	count := len(byWeight) / subsetLines
	for offset := range count {
		for i := (subset + offset) % count; i < len(byWeight) && len(lines) < subsetLines; i += count {
			if !isPresent(byWeight[i]) {
				lines = append(lines, byWeight[i])
			}
		}
	}
	return lines
}

// subsetReplicaFor returns the replica of a group's subset tables to bind another proxy to: the one with the fewest proxies,
// or a new one if some subset has no replica yet or the replica is full.
func (c *channel) subsetReplicaFor(group groupID) *replica {
	var least *replica
	highest := 0
	for _, r := range c.replicas {
		if r.group != group || r.subset == 0 {
			continue
		}
		highest = max(highest, r.subset)
		if least == nil || len(r.streams) < len(least.streams) {
			least = r
		}
	}
	if least == nil || highest < c.subsetCount(group) && len(least.streams) > 0 || c.isFull(least) {
		return c.addReplica(group, highest+1)
	}
	return least
}

// subsetStreams returns the streams that use subset tables of their planned group, in the order in which they connected.
func (c *channel) subsetStreams() []*stream {
	return c.selectStreams(func(s *stream, group groupID) bool {
		return s.replica != nil && s.replica.group == group && s.replica.subset > 0
	})
}

// widenSubsets binds proxies with subset tables to complete ones once the crowd has passed.
func (c *channel) widenSubsets(t turn) {
	if c.turns.crowded {
		return
	}
	for _, s := range c.subsetStreams() {
		if c.turns.queued >= wideningShare*t.routineLimit {
			return
		}
		c.bindPlanned(s)
	}
}
