package eureka

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"porthub/membership"
	"porthub/policyapi"
)

// deltaRetention is how long a registry's deltas contain a change. A missing instance that no delta has explained by then will
// not be explained any more.
const deltaRetention = 3 * time.Minute

const millisecondsPerSecond = 1000

// deregistrations records which instances have canceled their registration. A registry that has lost instances no longer lists
// them either, but only a cancellation or the expiry of a lease appears in its deltas. The zero value is empty.
type deregistrations struct {
	canceled    map[string]deregistration // by Instance.key
	unexplained map[string]time.Time      // when a snapshot first lacked an instance that no delta has shown as removed, by Instance.key
	// replaced has the canceled instances whose address another instance has taken since, by Instance.key: the endpoint has not left.
	replaced map[string]deregistration
}

// deregistration is an instance that has canceled its registration.
type deregistration struct {
	instance Instance
	shownAt  time.Time // when a delta last showed it
}

// leaseExpired reports whether an instance that a delta shows as removed was removed because it did not renew its lease: a partition
// may keep it from doing so while it serves requests. A registry that states no lease can't expire it.
func (i Instance) leaseExpired() bool {
	removedAt := i.EvictedAt
	if removedAt == 0 {
		removedAt = i.UpdatedAt
	}
	if removedAt == 0 || i.RenewedAt == 0 || i.LeaseSeconds == 0 {
		return false
	}
	return removedAt-i.RenewedAt > i.LeaseSeconds*millisecondsPerSecond
}

// missing records that a snapshot lacks instances that were listed before.
func (d *deregistrations) missing(now time.Time, before, after map[string]Instance) {
	for key := range before {
		_, listed := after[key]
		_, explained := d.canceled[key]
		if listed || explained {
			continue
		}
		if d.unexplained == nil {
			d.unexplained = map[string]time.Time{}
		}
		d.unexplained[key] = now
	}
}

// applyDelta records the cancellations in a delta. The last change of each instance counts. lastChanges has the time at which a
// missing instance last changed, by Instance.key: a stale delta may show a removal that precedes the last registration.
func (d *deregistrations) applyDelta(now time.Time, delta Applications, lastChanges map[string]int64) {
	for _, instance := range delta.Instances {
		key := instance.key()
		delete(d.canceled, key)
		if instance.Action != actionDeleted || instance.changedAt() < lastChanges[key] {
			continue
		}
		delete(d.unexplained, key)
		replaced, isReplaced := d.replaced[key]
		if instance.leaseExpired() || isReplaced && instance.changedAt() <= replaced.instance.changedAt() {
			continue
		}
		if d.canceled == nil {
			d.canceled = map[string]deregistration{}
		}
		d.canceled[key] = deregistration{instance: instance, shownAt: now}
	}
}

// discard forgets instances that are listed again or whose address is listed again, and what is older than deltaRetention.
func (d *deregistrations) discard(now time.Time, listed map[string]Instance, options Options) {
	addresses := map[string]bool{}
	if len(d.canceled) > 0 {
		for _, instance := range listed {
			address, _ := options.address(instance)
			addresses[address] = true
		}
	}
	maps.DeleteFunc(d.canceled, func(key string, canceled deregistration) bool {
		if _, isListed := listed[key]; isListed || now.Sub(canceled.shownAt) > deltaRetention {
			return true
		}
		address, hasAddress := options.address(canceled.instance)
		if !hasAddress || !addresses[address] {
			return false
		}
		d.replace(now, key, canceled)
		return true
	})
	maps.DeleteFunc(d.replaced, func(_ string, replaced deregistration) bool { return now.Sub(replaced.shownAt) > deltaRetention })
	maps.DeleteFunc(d.unexplained, func(key string, since time.Time) bool {
		_, isListed := listed[key]
		return isListed || now.Sub(since) > deltaRetention
	})
}

// replace records that another instance has taken the address of a canceled one. Deltas show the cancellation for at most
// deltaRetention from now.
func (d *deregistrations) replace(now time.Time, key string, canceled deregistration) {
	if d.replaced == nil {
		d.replaced = map[string]deregistration{}
	}
	d.replaced[key] = deregistration{instance: canceled.instance, shownAt: now}
}

// endpoints returns the endpoints whose instances have canceled their registration, sorted.
func (d *deregistrations) endpoints(options Options) []policyapi.EndpointID {
	var ids []policyapi.EndpointID
	for _, canceled := range d.canceled {
		if options.App != "" && canceled.instance.App != strings.ToUpper(options.App) {
			continue
		}
		if address, ok := options.address(canceled.instance); ok {
			ids = append(ids, policyapi.EndpointID(address))
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// update returns the source update for the state that the last poll has left.
func (c *Client) update() membership.SourceUpdate {
	c.deregistrations.discard(time.Now(), c.cache.instances, c.options)
	return membership.SourceUpdate{
		Source:       c.options.Name,
		Observations: c.observations,
		Deregistered: c.deregistrations.endpoints(c.options),
	}
}

// explainMissing fetches a delta if snapshots lack instances that were listed before, unless this poll has already read one. The
// deltas of a registry that has lost its state do not show the instances as removed. A failure is ignored: the next poll tries again.
func (c *Client) explainMissing(ctx context.Context) {
	if c.deltaRead || len(c.deregistrations.unexplained) == 0 {
		return
	}
	_, _ = c.getDelta(ctx)
}
