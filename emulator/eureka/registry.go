package eureka

import (
	"sync"
	"time"
)

// The statuses and actions of Eureka that the registry itself sets.
const (
	statusUp       = "UP"
	actionAdded    = "ADDED"
	actionModified = "MODIFIED"
	actionDeleted  = "DELETED"
)

const (
	// deltaRetention is how long deltas contain a change, the same as in Eureka's own servers.
	deltaRetention = 180 * time.Second
	// maxRevisions is the number of past revisions that are kept for lagging peers. Beyond it, the oldest droppedRevisions
	// are discarded.
	maxRevisions     = 400
	droppedRevisions = 100
)

// Registry holds instances. Its peers share the instances, but each peer has its own faults. A Registry is safe for
// concurrent use.
type Registry struct {
	mu        sync.Mutex // guards the fields below
	instances map[string]*Instance
	changes   []change
	revisions []revision // the most recent ones, oldest first
	revision  int        // number of changes so far
	now       func() time.Time
}

// Instance is a registered instance.
type Instance struct {
	App, ID, IP string
	Port        int
	Status      string
	Metadata    map[string]string
	LastChange  time.Time
	UpSince     time.Time
	LastRenewal time.Time
	EvictedAt   time.Time // when the instance was removed, only in deltas
}

// change is an entry of a delta.
type change struct {
	at       time.Time
	action   string
	instance Instance
}

// revision is the state after a change.
type revision struct {
	at        time.Time
	number    int
	instances []Instance
}

// New returns an empty registry.
func New() *Registry { return &Registry{instances: map[string]*Instance{}, now: time.Now} }

func key(app, id string) string { return app + "/" + id }

// Put registers an instance or replaces its registration.
func (r *Registry) Put(i Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	action := actionAdded
	if before := r.instances[key(i.App, i.ID)]; before != nil {
		action = actionModified
		if i.UpSince.IsZero() {
			i.UpSince = before.UpSince
		}
	}
	if i.Status == statusUp && i.UpSince.IsZero() {
		i.UpSince = now
	}
	i.LastChange = now
	i.LastRenewal = now
	r.instances[key(i.App, i.ID)] = &i
	r.recordChange(action, i)
}

// Remove removes an instance if it is registered, as if the instance had canceled a lease that it had renewed until then.
func (r *Registry) Remove(app, id string) { r.remove(app, id, 0) }

// Evict removes an instance if it is registered, as if the instance had not renewed its lease until the lease expired.
func (r *Registry) Evict(app, id string) { r.remove(app, id, (leaseDuration+1)*time.Second) }

// remove removes an instance whose lease was last renewed the given time ago.
func (r *Registry) remove(app, id string, sinceRenewal time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i := r.instances[key(app, id)]; i != nil {
		delete(r.instances, key(app, id))
		removed := *i
		removed.EvictedAt = r.now()
		removed.LastRenewal = removed.EvictedAt.Add(-sinceRenewal)
		r.recordChange(actionDeleted, removed)
	}
}

// Has reports whether an instance is registered.
func (r *Registry) Has(app, id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.instances[key(app, id)] != nil
}

// Revision returns the number of changes so far.
func (r *Registry) Revision() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// DropDeltas removes all changes from deltas, as if their retention time had passed.
func (r *Registry) DropDeltas() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changes = nil
}

// renew renews an instance's lease. It returns false if the instance is not registered.
func (r *Registry) renew(app, id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := r.instances[key(app, id)]
	if i != nil {
		i.LastRenewal = r.now()
	}
	return i != nil
}

func (r *Registry) recordChange(action string, i Instance) {
	r.changes = append(r.changes, change{at: r.now(), action: action, instance: i})
	r.revision++
	r.revisions = append(r.revisions, revision{at: r.now(), number: r.revision, instances: r.copyInstances()})
	if len(r.revisions) > maxRevisions {
		r.revisions = r.revisions[droppedRevisions:]
	}
}

func (r *Registry) copyInstances() []Instance {
	var copied []Instance
	for _, i := range r.instances {
		copied = append(copied, *i)
	}
	return copied
}

// stateBefore returns the instances and the revision as they were before the lag. With a lag of 0 it returns the current
// state.
func (r *Registry) stateBefore(lag time.Duration) (instances []Instance, number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if lag <= 0 {
		return r.copyInstances(), r.revision
	}
	for _, past := range r.revisions {
		if r.now().Sub(past.at) >= lag {
			instances = append([]Instance(nil), past.instances...)
			number = past.number
		}
	}
	return instances, number
}

// recentChanges returns the changes within the retention time of deltas.
func (r *Registry) recentChanges() []change {
	r.mu.Lock()
	defer r.mu.Unlock()
	var recent []change
	for _, c := range r.changes {
		if r.now().Sub(c.at) <= deltaRetention {
			recent = append(recent, c)
		}
	}
	return recent
}
