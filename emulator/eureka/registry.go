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
	// deltaRetention is how long a change stays in deltas, as with Eureka's own servers.
	deltaRetention = 180 * time.Second
	// maxRevisions and droppedRevisions bound the revisions that are kept for peers that lag behind.
	maxRevisions     = 400
	droppedRevisions = 100
)

// Registry holds instances. Its peers share them but each have their own faults. It is safe for concurrent use.
type Registry struct {
	mu        sync.Mutex // guards all below
	instances map[string]*Instance
	changes   []change
	revisions []revision // the last ones, oldest first
	revision  int        // counts changes
	now       func() time.Time
}

// Instance is an instance as it is registered.
type Instance struct {
	App, ID, IP string
	Port        int
	Status      string
	Metadata    map[string]string
	LastChange  time.Time
	UpSince     time.Time
	LastRenewal time.Time
}

// change is a change as deltas have it.
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

// Put registers an instance or changes its status.
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

// Remove removes an instance if it is registered.
func (r *Registry) Remove(app, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i := r.instances[key(app, id)]; i != nil {
		delete(r.instances, key(app, id))
		r.recordChange(actionDeleted, *i)
	}
}

// Has reports whether an instance is registered.
func (r *Registry) Has(app, id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.instances[key(app, id)] != nil
}

// Revision counts the changes so far.
func (r *Registry) Revision() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// DropDeltas removes all changes from deltas, as if they were long ago.
func (r *Registry) DropDeltas() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changes = nil
}

// renew renews an instance's lease; it reports whether the instance is registered.
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
	var out []Instance
	for _, i := range r.instances {
		out = append(out, *i)
	}
	return out
}

// stateBefore returns the instances and the revision as they were so long ago; 0: as they are.
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

// recentChanges returns the changes that are still in deltas.
func (r *Registry) recentChanges() []change {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []change
	for _, c := range r.changes {
		if r.now().Sub(c.at) <= deltaRetention {
			out = append(out, c)
		}
	}
	return out
}
