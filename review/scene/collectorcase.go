//go:build review

package main

import (
	"time"
)

const (
	sockets    = 256
	proxies    = 220
	cutProxies = 5
	// socketSlack is by how much the time limits of the rules are longer on sockets.
	socketSlack = 300 * time.Millisecond
)

// silentCollectors: the collectors of the three zones are cut off and come back, three times at most; then a few proxies are cut off and
// dial again, and backends drain.
func silentCollectors(s *scene) bool {
	p := newPlatform(s, 6, proxies)
	p.startNode(sockets)
	for _, x := range p.proxies {
		go x.run()
		time.Sleep(5 * time.Millisecond)
	}
	cuts := map[string]chan struct{}{}
	for _, zone := range zones {
		cuts[zone] = make(chan struct{})
		go p.collect(zone, cuts[zone])
	}
	for end := time.Now().Add(20 * time.Second); p.joinedProxies() < proxies; time.Sleep(100 * time.Millisecond) {
		need(time.Now().Before(end), "only %d of %d proxies have joined", p.joinedProxies(), proxies)
	}
	p.note("%d proxies and 3 collectors have joined; the coordinator may hold %d descriptors", proxies, sockets)
	time.Sleep(5 * time.Second)
	if s.trouble {
		for cut := range 8 {
			zone := zones[cut%len(zones)]
			close(cuts[zone])
			time.Sleep(2 * time.Second)
			cuts[zone] = make(chan struct{})
			go p.collect(zone, cuts[zone])
			p.note("the collector of %s was cut off for 2 s; its connection stays open and silent, it has dialled again", zone)
		}
	} else {
		time.Sleep(16 * time.Second)
	}
	time.Sleep(2 * time.Second)
	need(p.joinedProxies() == proxies, "only %d of %d proxies are joined before the cut", p.joinedProxies(), proxies)
	cut := map[int]bool{}
	for i := range cutProxies {
		x := p.proxies[3*i] // of hala-a
		cut[x.number] = true
		x.cutOff()
	}
	p.note("%d proxies of hala-a are cut off: their streams stay open and silent; they dial again after 1 s", cutProxies)
	time.Sleep(4 * time.Second)
	drained := []string{"s-a0", "s-a1"}
	p.discovery.setHealth("Terminating", drained...)
	time.Sleep(300 * time.Millisecond)
	p.discovery.mu.Lock()
	told := p.discovery.told
	p.discovery.mu.Unlock()
	p.note("discovery has told that %v are Terminating", drained)
	from := told.Add(drainGrace + socketSlack)
	time.Sleep(time.Until(from.Add(12 * time.Second)))
	late := 0
	for _, name := range drained {
		n := p.backends[name].between(from, time.Now())
		p.note("requests that arrived at %s later than %.1f s after that: %d", name, (drainGrace + socketSlack).Seconds(), n)
		late += n
	}
	for number := range cut {
		x := p.proxies[number]
		x.mu.Lock()
		p.note("proxy %d: joined %v, dials that were not taken: %d", number, x.joined, x.refused)
		x.mu.Unlock()
	}
	p.note("joined: %d of %d", p.joinedProxies(), proxies)
	return late == 0
}
