package policy

import (
	"maps"
	"slices"

	"porthub/policyapi"
)

// minRelativeChange and maxRelativeChange bound the ratio of a figure to the one that was sent within which it is not
// worth a line. They are each other's inverse, nearly.
const minRelativeChange, maxRelativeChange = 0.85, 1.18

// withinThreshold reports whether a figure is so close to what was sent that it is not worth a line.
func withinThreshold(wanted, sent float64) bool {
	return wanted >= minRelativeChange*sent && wanted <= maxRelativeChange*sent
}

// tableChange is what a table has to change by to be as planned.
type tableChange struct {
	withdrawn        []tableLine // what the rules want: withdrawn endpoints, after the first line of a table that would be empty
	removed          []tableLine // other lines that go
	updated          []tableLine // lines that come, or have another weight
	admission        policyapi.SetAdmission
	admissionChanged bool
	replaces         bool // no line of the table stays
}

// size is the number of lines of the whole change.
func (t tableChange) size() int {
	n := len(t.withdrawn) + len(t.removed) + len(t.updated)
	if t.admissionChanged {
		n++
	}
	return n
}

// diffTable returns what one of a replica's tables has to change by to be as planned: lines that differ by enough. A
// table of a group that is not planned stays as it is.
func (c *channel) diffTable(r *replica, set int) (change tableChange) {
	plans, planned := c.target.tables[r.group]
	if !planned {
		return change
	}
	plan, table := plans[set], r.tables[set]
	wanted := map[policyapi.EndpointID]bool{}
	var heaviestNew tableLine
	for _, line := range plan.lines {
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
	if !stays && heaviestNew.weight > 0 { // the first rule: first something to choose, then the removals
		change.updated = slices.DeleteFunc(change.updated, func(line tableLine) bool { return line == heaviestNew })
		change.withdrawn = slices.Insert(change.withdrawn, 0, heaviestNew)
	}
	c.diffAdmission(&change, r, set, plan.level)
	return change
}

// diffRemovals adds the lines that go to a change, and reports whether any line of the table stays.
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

// diffAdmission adds a table's own level to a change. It goes out with the table's lines, so that it is there no later
// than what it limits.
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
