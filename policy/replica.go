package policy

import (
	"cmp"
	"maps"
	"slices"

	"porthub/policyapi"
)

// firstExtraTable is the first table number for the additional replicas of a group. The table numbers of its first replica
// are derived from the group's ID while they are below firstExtraTable, so that they are the same after a restart.
const firstExtraTable policyapi.TableID = 1 << 15

// replica is one copy of a group's tables. The proxies of a large group are distributed among several replicas, so that a
// line to all proxies of a replica takes only a part of the queue.
type replica struct {
	group           groupID
	subset          int // 0: the tables are complete; otherwise, the number of the subset of the group's endpoints
	firstTable      policyapi.TableID
	tables          []tableState // by placement
	streams         []*stream    // streams bound to the replica, in the order of binding
	withdrawalSince micros       // when a withdrawn endpoint was first found in one of the tables; 0: there is none
	removedAt       micros       // when removals were last sent or attempted
}

// table returns the number of a placement's table.
func (r *replica) table(set int) policyapi.TableID { return r.firstTable + policyapi.TableID(set) }

// tableState is the content of a table as last ordered.
type tableState struct {
	lines        map[policyapi.EndpointID]float64
	admission    policyapi.SetAdmission // the table's own level
	hasAdmission bool                   // a level has been ordered
	pending      tableChange            // difference between the table and the target state
}

// addReplica creates a replica of a group's tables, complete or with a subset of the endpoints. Its lines cost nothing
// until a proxy is bound to it.
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

// replicaPosition returns the position of the replica with the given first table number, or where to insert it.
func (c *channel) replicaPosition(firstTable policyapi.TableID) (at int, taken bool) {
	return slices.BinarySearchFunc(c.replicas, firstTable, func(r *replica, firstTable policyapi.TableID) int {
		return cmp.Compare(r.firstTable, firstTable)
	})
}

// syncReplica updates the tables of a replica that no proxy is bound to.
func (c *channel) syncReplica(r *replica) {
	for set := range r.tables {
		change := c.diffTable(r, set)
		c.orderAdmission(r, set, change)
		c.orderLines(r, set, slices.Concat(change.withdrawn, change.removed, change.updated))
	}
}

// reconcileReplicas drops the replicas that no proxy needs, adds a complete one to each planned group that has none, and
// compares all with the target state. Replicas that no proxy is bound to are updated at once.
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

// dropReplicas drops the replicas that no proxy is bound to, but keeps a complete one of each planned group. It returns the
// groups that have a complete replica.
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

// orderLines sends lines of one of a replica's tables to the proxies that are bound to it.
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

// orderAdmission sends a table's own level if the change includes one.
func (c *channel) orderAdmission(r *replica, set int, change tableChange) {
	if !change.admissionChanged {
		return
	}
	r.tables[set].admission = change.admission
	r.tables[set].hasAdmission = true
	c.out.add(change.admission)
}
