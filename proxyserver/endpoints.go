package proxyserver

import (
	"maps"
	"slices"
	"sync"

	"porthub/policyapi"
	"porthub/proxyproto"
)

// endpointStore contains the endpoint list that was applied last. It is owned by the owner, except for the addresses.
type endpointStore struct {
	version   policyapi.ListVersion
	endpoints map[policyapi.EndpointID]policyapi.Endpoint
	// withdrawn are the endpoints that were listed as draining or removed, with the start times of those processes.
	withdrawn map[policyapi.EndpointID]policyapi.Microseconds
	addresses addressTable
}

// addressTable contains the addresses for health checks of endpoints. The owner sets them, health checks look them up.
type addressTable struct {
	mu         sync.Mutex // guards byEndpoint; the map itself is never changed after set
	byEndpoint map[policyapi.EndpointID]string
}

func (b *addressTable) lookup(id policyapi.EndpointID) (address string, has bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	address, has = b.byEndpoint[id]
	return address, has
}

func (b *addressTable) set(byEndpoint map[policyapi.EndpointID]string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.byEndpoint = byEndpoint
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
			address = s.addresses.byEndpoint[id] // only the owner sets it
		}
		if address != "" {
			merged[id] = address
		}
	}
	s.addresses.set(merged)
}

// forget drops the state of endpoints that messages may no longer name.
func (s *endpointStore) forget(forgotten []policyapi.EndpointID) {
	for _, id := range forgotten {
		delete(s.withdrawn, id)
	}
}

// cachedList returns the list last applied as an update of kind Cached.
func (s *endpointStore) cachedList() policyapi.EndpointUpdate {
	update := policyapi.EndpointUpdate{Version: s.version, Kind: policyapi.Cached}
	for _, id := range slices.Sorted(maps.Keys(s.endpoints)) {
		update.Endpoints = append(update.Endpoints, s.endpoints[id])
	}
	return update
}

// reconcile returns a list's update in the form in which it is applied: endpoints whose entries can't be read stay, and withdrawn ones
// are not restored by an older list.
func (s *endpointStore) reconcile(list proxyproto.EndpointList) policyapi.EndpointUpdate {
	return s.retainWithdrawn(s.retainUnreadable(list))
}

// retainUnreadable prevents that an endpoint counts as removed because its entry in a snapshot can't be read.
func (s *endpointStore) retainUnreadable(list proxyproto.EndpointList) policyapi.EndpointUpdate {
	update := list.Update
	if update.Kind != policyapi.Snapshot {
		return update
	}
	if list.HasUnnamed {
		update.Kind = policyapi.Delta // the entry without a name may be that of any missing endpoint: none is removed
		return update
	}
	for _, id := range list.Unreadable {
		if e, has := s.endpoints[id]; has {
			update.Endpoints = append(update.Endpoints, e)
		}
	}
	return update
}

// retainWithdrawn prevents that a list with a lower version than the present one, from a discovery that lags behind or has restarted,
// restores an endpoint that was listed as draining or removed, unless the endpoint has been started since.
func (s *endpointStore) retainWithdrawn(update policyapi.EndpointUpdate) policyapi.EndpointUpdate {
	for i, e := range update.Endpoints {
		startedAt, isWithdrawn := s.withdrawn[e.ID]
		if isWithdrawn && e.Status == policyapi.Ready && update.Version < s.version && e.StartedAt <= startedAt {
			update.Endpoints[i].Status = policyapi.Draining
		}
	}
	return update
}
