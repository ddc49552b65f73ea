package proxyserver

import (
	"maps"
	"slices"
	"sync"

	"porthub/policyapi"
	"porthub/proxyproto"
)

// endpointStore keeps the endpoint list at hand, in the version last applied. It belongs to the owner, but for the addresses.
type endpointStore struct {
	version   policyapi.ListVersion
	endpoints map[policyapi.EndpointID]policyapi.Endpoint
	// withdrawn are the endpoints that were listed as draining or removed, by when they had been started.
	withdrawn map[policyapi.EndpointID]policyapi.Microseconds
	addresses addressTable
}

// addressTable has the addresses at which endpoints are checked. The owner sets them, health checks look them up.
type addressTable struct {
	mu         sync.Mutex // guards byEndpoint; a map that was set is not changed any more
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

// apply applies an update with the addresses that came with it. An endpoint without an address in the update keeps its old one.
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

// forget drops what is stored of endpoints that messages may no longer name.
func (s *endpointStore) forget(forgotten []policyapi.EndpointID) {
	for _, id := range forgotten {
		delete(s.withdrawn, id)
	}
}

// cachedList returns the list at hand as an update.
func (s *endpointStore) cachedList() policyapi.EndpointUpdate {
	update := policyapi.EndpointUpdate{Version: s.version, Kind: policyapi.Cached}
	for _, id := range slices.Sorted(maps.Keys(s.endpoints)) {
		update.Endpoints = append(update.Endpoints, s.endpoints[id])
	}
	return update
}

// reconcile returns a list's update as it may be applied: endpoints whose entries can't be read stay, withdrawn ones are not restored
// by an older list.
func (s *endpointStore) reconcile(list proxyproto.EndpointList) policyapi.EndpointUpdate {
	return s.retainWithdrawn(s.retainUnreadable(list))
}

// retainUnreadable keeps an endpoint from being taken for removed because its entry in a snapshot can't be read.
func (s *endpointStore) retainUnreadable(list proxyproto.EndpointList) policyapi.EndpointUpdate {
	update := list.Update
	if update.Kind != policyapi.Snapshot {
		return update
	}
	if list.HasUnnamed {
		update.Kind = policyapi.Delta // any endpoint that seems to be missing may be the one without a name
		return update
	}
	for _, id := range list.Unreadable {
		if e, has := s.endpoints[id]; has {
			update.Endpoints = append(update.Endpoints, e)
		}
	}
	return update
}

// retainWithdrawn keeps a list with a lower version than the one at hand, from a discovery that lags behind or has restarted, from
// restoring an endpoint that was listed as draining or removed, unless it has been started since.
func (s *endpointStore) retainWithdrawn(update policyapi.EndpointUpdate) policyapi.EndpointUpdate {
	for i, e := range update.Endpoints {
		startedAt, isWithdrawn := s.withdrawn[e.ID]
		if isWithdrawn && e.Status == policyapi.Ready && update.Version < s.version && e.StartedAt <= startedAt {
			update.Endpoints[i].Status = policyapi.Draining
		}
	}
	return update
}
