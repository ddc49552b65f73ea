package policy

import (
	"maps"
	"slices"

	"porthub/policyapi"
)

// minRelativeChange and maxRelativeChange bound the ratio of a new figure to the figure that was sent: a change within the
// bounds is too small to be worth a line. Each bound is nearly the inverse of the other.
const minRelativeChange, maxRelativeChange = 0.85, 1.18

// withinThreshold reports whether a figure is so close to the one that was sent that it is not sent again.
func withinThreshold(wanted, sent float64) bool {
	return wanted >= minRelativeChange*sent && wanted <= maxRelativeChange*sent
}

// tableChange is the difference between a table and its plan.
type tableChange struct {
	withdrawn        []tableLine // removals of endpoints that are not ready; a new line may precede them
	removed          []tableLine // other removals
	updated          []tableLine // new lines, and lines with a new weight
	admission        policyapi.SetAdmission
	admissionChanged bool
	replaces         bool // no line of the table remains
}

// size returns the number of lines of the complete change.
func (t tableChange) size() int {
	n := len(t.withdrawn) + len(t.removed) + len(t.updated)
	if t.admissionChanged {
		n++
	}
	return n
}

// diffTable returns the difference between one of a replica's tables and its plan, without the weights whose change is
// within the threshold. A table of a group that is not planned does not change.
func (c *channel) diffTable(r *replica, set int) (change tableChange) {
	plans, planned := c.target.tables[r.group]
	if !planned {
		return change
	}
	plan, table := plans[set], r.tables[set]
	wanted := map[policyapi.EndpointID]bool{}
	var heaviestNew tableLine
	for _, line := range c.plannedLines(r, set) {
		wanted[line.endpoint] = true
		sent := table.lines[line.endpoint]
		if withinThreshold(line.weight, sent) {
			continue
		}
		change.updated = append(change.updated, line)
		if sent == 0 && line.weight > heaviestNew.weight {
			heaviestNew = line
		}
	}
	stays := c.diffRemovals(&change, table, wanted)
	change.replaces = !stays
	if !stays && heaviestNew.weight > 0 { // no proxy may have an empty table at any time: a new line is sent before the removals
		change.updated = slices.DeleteFunc(change.updated, func(line tableLine) bool { return line == heaviestNew })
		change.withdrawn = slices.Insert(change.withdrawn, 0, heaviestNew)
	}
	c.diffAdmission(&change, r, set, plan.level)
	return change
}

// diffRemovals adds the removals to a change and reports whether any line of the table remains.
func (c *channel) diffRemovals(change *tableChange, table tableState, wanted map[policyapi.EndpointID]bool) (stays bool) {
	for _, id := range slices.Sorted(maps.Keys(table.lines)) {
		switch {
		case wanted[id]:
			stays = true
		case c.target.ready[id]:
			change.removed = append(change.removed, tableLine{id, 0})
		default:
			change.withdrawn = append(change.withdrawn, tableLine{id, 0})
		}
	}
	return stays
}

// diffAdmission adds a table's own level to a change. The level is sent with the table's lines, so that it arrives no
// later than the lines that it protects.
func (c *channel) diffAdmission(change *tableChange, r *replica, set int, level float64) {
	retryPolicy := policyapi.RetryIfNotExecuted
	if n := len(c.target.admissions); n > 0 {
		retryPolicy = c.target.admissions[n-1].RetryPolicy
	}
	table := r.tables[set]
	change.admission = policyapi.SetAdmission{
		Table:       r.table(set),
		Classes:     c.classSets[set],
		Level:       level,
		RetryPolicy: retryPolicy,
	}
	differs := !withinThreshold(level, table.admission.Level) || retryPolicy != table.admission.RetryPolicy
	change.admissionChanged = differs && (table.hasAdmission || level < unlimitedLevel)
}
