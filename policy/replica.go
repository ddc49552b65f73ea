package policy

import (
	"cmp"
	"maps"
	"slices"

	"porthub/policyapi"
)

// firstExtraTable is the first table number of a group's further replicas. The table numbers of the first replica follow
// from the group's ID while they are below firstExtraTable, so that they are the same after a restart.
const firstExtraTable policyapi.TableID = 1 << 15

// replica is one copy of a group's tables. The proxies of a large group are spread over several, so that a line to all
// that share a replica takes no more than a part of the queue.
type replica struct {
	group           groupID
	subset          int // 0: the tables are complete; else which subset of the group's endpoints they have
	firstTable      policyapi.TableID
	tables          []tableState // by placement
	streams         []*stream    // bound to it, in the order of binding
	withdrawalSince micros       // since when a withdrawn endpoint is in one of the tables; 0: none is
	removedAt       micros       // when removals were last sent or attempted
}

// table returns the number of a placement's table.
func (r *replica) table(set int) policyapi.TableID { return r.firstTable + policyapi.TableID(set) }

// tableState is what a table was last ordered to contain.
type tableState struct {
	lines        map[policyapi.EndpointID]float64
	admission    policyapi.SetAdmission // its own level
	hasAdmission bool                   // it was ordered
	pending      tableChange            // by which the table differs from the target state
}

// addReplica creates a replica of a group's tables, or of a subset of them. Its lines cost nothing until a proxy is bound
// to it.
func (c *channel) addReplica(group groupID, subset int) *replica {
	sets := len(c.classSets)
	r := &replica{group: group, subset: subset, firstTable: policyapi.TableID(int(group) * sets), tables: make([]tableState, sets)}
	for set := range r.tables {
		r.tables[set].lines = map[policyapi.EndpointID]float64{}
	}
	at, taken := c.replicaPosition(r.firstTable)
	if taken || subset > 0 || r.firstTable >= firstExtraTable {
		r.firstTable = firstExtraTable
		for at, taken = c.replicaPosition(r.firstTable); taken; at, taken = c.replicaPosition(r.firstTable) {
			r.firstTable += policyapi.TableID(sets)
		}
	}
	c.replicas = slices.Insert(c.replicas, at, r)
	c.syncReplica(r)
	return r
}

// replicaPosition returns the position of the replica with a first table number, or where it would be inserted.
func (c *channel) replicaPosition(firstTable policyapi.TableID) (at int, taken bool) {
	return slices.BinarySearchFunc(c.replicas, firstTable, func(r *replica, firstTable policyapi.TableID) int {
		return cmp.Compare(r.firstTable, firstTable)
	})
}

// syncReplica brings the tables of a replica that no proxy is bound to up to date.
func (c *channel) syncReplica(r *replica) {
	for set := range r.tables {
		change := c.diffTable(r, set)
		c.orderAdmission(r, set, change)
		c.orderLines(r, set, slices.Concat(change.withdrawn, change.removed, change.updated))
	}
}

// reconcileReplicas drops the replicas that no proxy needs, makes sure that each planned group has one, and compares all
// with the target state. Those that no proxy is bound to are always up to date.
func (c *channel) reconcileReplicas() {
	present := c.dropReplicas()
	for _, group := range slices.Sorted(maps.Keys(c.target.tables)) {
		if !present[group] {
			c.addReplica(group, 0)
		}
	}
	for _, r := range c.replicas {
		if len(r.streams) == 0 {
			c.syncReplica(r)
			continue
		}
		for set := range r.tables {
			r.tables[set].pending = c.diffTable(r, set)
		}
	}
}

// dropReplicas drops the replicas that no proxy is bound to, except for a complete one of each planned group. It returns
// the groups that have a complete replica.
func (c *channel) dropReplicas() (present map[groupID]bool) {
	present = map[groupID]bool{}
	for _, r := range c.replicas {
		present[r.group] = present[r.group] || r.subset == 0 && len(r.streams) > 0
	}
	c.replicas = slices.DeleteFunc(c.replicas, func(r *replica) bool {
		_, planned := c.target.tables[r.group]
		isOnly := planned && r.subset == 0 && !present[r.group]
		if len(r.streams) > 0 || isOnly {
			present[r.group] = present[r.group] || isOnly
			return false
		}
		for set := range r.tables {
			c.out.add(policyapi.ClearTable{Table: r.table(set)})
		}
		return true
	})
	return present
}

// orderLines sends lines of one of a replica's tables to all that are bound to it.
func (c *channel) orderLines(r *replica, set int, lines []tableLine) {
	table := &r.tables[set]
	for _, line := range lines {
		if line.weight == 0 {
			delete(table.lines, line.endpoint)
		} else {
			table.lines[line.endpoint] = line.weight
		}
		c.out.add(policyapi.SetWeight{Table: r.table(set), Endpoint: line.endpoint, Weight: line.weight})
	}
	table.pending = c.diffTable(r, set)
}

// orderAdmission sends a table's own level, if it is to change.
func (c *channel) orderAdmission(r *replica, set int, change tableChange) {
	if !change.admissionChanged {
		return
	}
	r.tables[set].admission = change.admission
	r.tables[set].hasAdmission = true
	c.out.add(change.admission)
}
