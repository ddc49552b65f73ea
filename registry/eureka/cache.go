package eureka

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// maxRemoved is the number of removed instances at which their record is cleared to bound its memory.
const maxRemoved = 20000

// actionDeleted is the action of an instance that a delta removes from the registry.
const actionDeleted = "DELETED"

// Cache holds the known state of a registry: the last snapshot with the deltas applied since. The zero value is empty.
type Cache struct {
	instances map[string]Instance // by Instance.key
	removed   map[string]int64    // Instance.changedAt of removed instances, by Instance.key
	complete  bool                // instances has the state of a snapshot to which deltas can be applied
}

// changedAt returns the latest time at which the registry reports a change of the instance, in milliseconds since 1970.
func (i Instance) changedAt() int64 {
	return max(i.DirtyAt, i.UpdatedAt, i.RegisteredAt, i.ServiceUpAt)
}

// key returns the key of an instance in a Cache: its application and ID.
func (i Instance) key() string { return i.App + "/" + i.ID }

// StatusHash returns the hash with which a registry lets clients verify deltas: each status with the number of its instances,
// sorted by status.
func StatusHash(instances []Instance) string {
	counts := map[string]int{}
	for _, instance := range instances {
		counts[instance.Status]++
	}
	var hash strings.Builder
	for _, status := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(&hash, "%s_%d_", status, counts[status])
	}
	return hash.String()
}

// ApplySnapshot replaces the state by a snapshot.
func (c *Cache) ApplySnapshot(snapshot Applications) {
	before := c.instances
	c.instances = map[string]Instance{}
	c.complete = true
	for _, instance := range snapshot.Instances {
		c.instances[instance.key()] = instance
		delete(c.removed, instance.key())
	}
	c.recordRemovals(before)
}

// ApplyDelta applies a delta and reports whether it did so. It returns false and keeps the instances unchanged if no snapshot
// has been applied or the result does not have the registry's hash; a snapshot must then be fetched.
func (c *Cache) ApplyDelta(delta Applications) bool {
	if !c.complete {
		return false
	}
	next := maps.Clone(c.instances)
	for _, instance := range delta.Instances {
		c.applyInstance(next, instance)
	}
	if StatusHash(slices.Collect(maps.Values(next))) != delta.Hash {
		c.complete = false
		return false
	}
	before := c.instances
	c.instances = next
	c.recordRemovals(before)
	for key := range next {
		delete(c.removed, key)
	}
	return true
}

// applyInstance applies one instance of a delta. The hash covers only the counts of statuses: a stale delta can restore a
// removed instance in its old state and still have the right hash if another instance was added. Therefore a removed instance
// is restored only if it has changed since.
func (c *Cache) applyInstance(next map[string]Instance, instance Instance) {
	key := instance.key()
	if current, ok := next[key]; ok && current.DirtyAt > instance.DirtyAt && instance.Action != actionDeleted {
		return // deltas overlap, and this one has an older state of the instance
	}
	if removedAt, ok := c.removed[key]; ok && instance.changedAt() <= removedAt {
		return
	}
	if instance.Action == actionDeleted {
		delete(next, key)
		return
	}
	instance.Action = ""
	next[key] = instance
}

// recordRemovals records the instances that have been removed since an earlier state.
func (c *Cache) recordRemovals(before map[string]Instance) {
	for key, instance := range before {
		if _, ok := c.instances[key]; !ok {
			c.recordRemoval(key, instance.changedAt())
		}
	}
}

func (c *Cache) recordRemoval(key string, changedAt int64) {
	if c.removed == nil || len(c.removed) >= maxRemoved {
		c.removed = map[string]int64{}
	}
	c.removed[key] = changedAt
}

// Instances returns all instances, sorted by application and ID.
func (c *Cache) Instances() (instances []Instance) {
	for _, key := range slices.Sorted(maps.Keys(c.instances)) {
		instances = append(instances, c.instances[key])
	}
	return instances
}
