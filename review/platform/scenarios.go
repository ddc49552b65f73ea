//go:build review

package main

import (
	"fmt"
	"time"
)

// scenario is a deployment and its course. trouble is false if the course is played without its disruption.
type scenario struct {
	layout layout
	run    func(p *platform, trouble bool) error
}

var scenarios = map[string]scenario{
	"pieces": {layout{coordinators: 1, backends: 18, proxies: 15, traffic: 0.7}, playPieces},
	"spoilt": {layout{coordinators: 1, backends: 18, proxies: 15, traffic: 1.12}, playSpoilt},
}

// playPieces takes a third of the backends out of service in one step, while discovery delivers the bytes of its lines in pieces: the
// line takes about four seconds, and no pause between two pieces is longer than a tenth of a second.
func playPieces(p *platform, trouble bool) error {
	p.sleepUntil(10)
	if trouble {
		p.d.setPieces(pieces{20, 100 * time.Millisecond})
		p.w.note("from now on discovery writes the lines of its list 20 bytes at a time, every 100 ms")
	}
	var step []hostEntry
	for i := 0; i < len(p.order); i += 3 {
		e := p.d.entry(p.order[i+i/3%3])
		e.Health = "Terminating"
		step = append(step, e)
		p.w.note("%s is listed as Terminating", e.Host)
	}
	p.d.set(step...)
	p.sleepUntil(40)
	return nil
}

// playSpoilt replaces half of the backends one after the other. A few seconds before, one field of one report on one of them is out of
// range.
func playSpoilt(p *platform, trouble bool) error {
	p.sleepUntil(12)
	if trouble {
		p.spoilNext(p.order[0])
	}
	p.sleepUntil(18)
	old := p.hosts()
	for i, old := range []string{old[0], old[3], old[6], old[9], old[12], old[1], old[4], old[7], old[10]} {
		e := p.d.entry(old)
		e.Health = "Terminating"
		p.d.set(e)
		fresh, started := fmt.Sprintf("s-%08x", 0x7be20000+i), time.Now()
		p.w.note("%s is listed as Terminating; %s starts in its place", old, fresh)
		time.Sleep(1300 * time.Millisecond)
		if err := p.addBackend(fresh, e.Site, e.Block, started); err != nil {
			return err
		}
		p.w.note("%s is listed as Ready", fresh)
		time.Sleep(2 * time.Second)
		e.Health = "Gone"
		p.d.set(e)
		p.backend(old).stop()
		p.w.note("%s is listed as Gone", old)
	}
	time.Sleep(8 * time.Second)
	return nil
}
