package eureka

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// maxRemoved bounds the memory for removed instances.
const maxRemoved = 20000

// actionDeleted marks an instance of a delta that left the registry.
const actionDeleted = "DELETED"

// Cache is the known state of a registry: the last snapshot with the deltas since. The zero value is empty.
type Cache struct {
	instances map[string]Instance // by application and ID
	removed   map[string]int64    // when removed instances last changed, in milliseconds
	complete  bool                // deltas may be applied
}

// changedAt is when an instance last changed as the registry reports it, in milliseconds since 1970.
func (i Instance) changedAt() int64 {
	return max(i.DirtyAt, i.UpdatedAt, i.RegisteredAt, i.ServiceUpAt)
}

func (i Instance) key() string { return i.App + "/" + i.ID }

// StatusHash is the hash by which deltas are verified: each status with its count, sorted by status.
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

// ApplySnapshot replaces the state.
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

// ApplyDelta applies a delta. It reports false, and leaves the state unchanged, if the result does not have the registry's
// hash or there is no snapshot: then a snapshot has to be fetched.
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

// applyInstance applies one instance of a delta. The hash covers only the counts of statuses: a stale delta can bring a
// removed instance back as it was, and have the right hash when another one was added. So an instance comes back only if
// it changed after it was removed.
func (c *Cache) applyInstance(next map[string]Instance, instance Instance) {
	key := instance.key()
	if current, ok := next[key]; ok && current.DirtyAt > instance.DirtyAt && instance.Action != actionDeleted {
		return // deltas overlap: this is an older state
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

// recordRemovals records the instances of an earlier state that have been removed.
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

// Instances returns the state, sorted by application and ID.
func (c *Cache) Instances() (instances []Instance) {
	for _, key := range slices.Sorted(maps.Keys(c.instances)) {
		instances = append(instances, c.instances[key])
	}
	return instances
}
