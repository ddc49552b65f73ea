package proxyserver

import (
	"maps"
	"slices"
	"sync"

	"porthub/policyapi"
	"porthub/proxyproto"
)

// endpointStore contains the endpoint list that was applied last. It is used by the owner only, except for the addresses.
type endpointStore struct {
	version   policyapi.ListVersion
	endpoints map[policyapi.EndpointID]policyapi.Endpoint
	// withdrawn contains the endpoints that were listed as draining or removed, with the start times of their processes.
	withdrawn map[policyapi.EndpointID]policyapi.Microseconds
	addresses addressTable
}

// addressTable contains the health-check addresses of endpoints. The owner sets them, and health checks look them up.
type addressTable struct {
	mu         sync.Mutex // guards byEndpoint; the map itself is not modified after set
	byEndpoint map[policyapi.EndpointID]string
}

func (t *addressTable) lookup(id policyapi.EndpointID) (address string, has bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	address, has = t.byEndpoint[id]
	return address, has
}

func (t *addressTable) set(byEndpoint map[policyapi.EndpointID]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byEndpoint = byEndpoint
}

func newEndpointStore() *endpointStore {
	return &endpointStore{
		endpoints: map[policyapi.EndpointID]policyapi.Endpoint{},
		withdrawn: map[policyapi.EndpointID]policyapi.Microseconds{},
	}
}

// apply applies an update and its addresses. An endpoint without an address in the update retains its earlier one.
func (s *endpointStore) apply(update policyapi.EndpointUpdate, addresses map[policyapi.EndpointID]string) {
	s.version = update.Version
	before := maps.Clone(s.endpoints)
	if update.Kind != policyapi.Delta {
		clear(s.endpoints)
	}
	for _, e := range update.Endpoints {
		if e.Status == policyapi.Removed {
			delete(s.endpoints, e.ID)
		} else {
			s.endpoints[e.ID] = e
		}
		if e.Status == policyapi.Ready {
			delete(s.withdrawn, e.ID)
		} else {
			s.withdrawn[e.ID] = max(e.StartedAt, before[e.ID].StartedAt)
		}
	}
	for id, e := range before {
		if _, listed := s.endpoints[id]; !listed {
			s.withdrawn[id] = max(s.withdrawn[id], e.StartedAt)
		}
	}
	s.applyAddresses(addresses)
}

func (s *endpointStore) applyAddresses(addresses map[policyapi.EndpointID]string) {
	merged := map[policyapi.EndpointID]string{}
	for id := range s.endpoints {
		address := addresses[id]
		if address == "" {
			address = s.addresses.byEndpoint[id] // without the lock, since only the owner sets the map
		}
		if address != "" {
			merged[id] = address
		}
	}
	s.addresses.set(merged)
}

// discard discards the state of endpoints that messages may no longer name.
func (s *endpointStore) discard(expired []policyapi.EndpointID) {
	for _, id := range expired {
		delete(s.withdrawn, id)
	}
}

// cachedList returns the list that was applied last, as an update of kind Cached.
func (s *endpointStore) cachedList() policyapi.EndpointUpdate {
	update := policyapi.EndpointUpdate{Version: s.version, Kind: policyapi.Cached}
	for _, id := range slices.Sorted(maps.Keys(s.endpoints)) {
		update.Endpoints = append(update.Endpoints, s.endpoints[id])
	}
	return update
}

// reconcile returns the update that a list results in: endpoints whose entries can't be read are retained, and withdrawn
// endpoints are not restored by an older list.
func (s *endpointStore) reconcile(list proxyproto.EndpointList) policyapi.EndpointUpdate {
	return s.retainWithdrawn(s.retainUnreadable(list))
}

// retainUnreadable returns the update of a list, changed so that endpoints do not count as removed because their entries in a
// snapshot can't be read.
func (s *endpointStore) retainUnreadable(list proxyproto.EndpointList) policyapi.EndpointUpdate {
	update := list.Update
	if update.Kind != policyapi.Snapshot {
		return update
	}
	if list.HasUnnamed {
		update.Kind = policyapi.Delta // the entry without a name may belong to any missing endpoint, so none is removed
		return update
	}
	for _, id := range list.Unreadable {
		if e, has := s.endpoints[id]; has {
			update.Endpoints = append(update.Endpoints, e)
		}
	}
	return update
}

// retainWithdrawn marks withdrawn endpoints as draining in an update with a lower version than the current list, such as one from
// a discovery that lags behind or has restarted. Endpoints that have been started since they were withdrawn stay ready.
func (s *endpointStore) retainWithdrawn(update policyapi.EndpointUpdate) policyapi.EndpointUpdate {
	for i, e := range update.Endpoints {
		startedAt, isWithdrawn := s.withdrawn[e.ID]
		if isWithdrawn && e.Status == policyapi.Ready && update.Version < s.version && e.StartedAt <= startedAt {
			update.Endpoints[i].Status = policyapi.Draining
		}
	}
	return update
}
