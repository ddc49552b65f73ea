package audit

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// DeliveryLatency returns the histogram of the times from the writing of a file to its use by a gateway, in microseconds.
func (l *Log) DeliveryLatency() *hdrhistogram.Histogram {
	l.mu.Lock()
	defer l.mu.Unlock()
	return hdrhistogram.Import(l.delivery.Export())
}

// DocumentCounts returns the numbers of complete and incomplete documents that gateways read.
func (l *Log) DocumentCounts() (complete, incomplete int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.completeDocs, l.incompleteDocs
}

// PeakLoadRatio returns the work that arrived at the busiest endpoint in its busiest second, as a multiple of the mean over
// all endpoints and all seconds in which work arrived at them.
func (l *Log) PeakLoadRatio() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	peak := 0.0
	total := 0.0
	seconds := 0.0
	for _, endpoint := range l.endpoints {
		bySecond := map[int]float64{}
		for _, a := range endpoint.arrivals {
			bySecond[int(a.at/time.Second)] += a.work
		}
		for _, work := range bySecond {
			peak = max(peak, work)
			total += work
			seconds++
		}
	}
	return peak / max(total/max(seconds, 1), 1e-9)
}

// Restart describes a restart of the coordinator.
type Restart struct {
	Down, Up time.Duration // when the previous process ended, and when the new one started
	// FirstTable and AllTables are the times at which the first and the last gateway applied a table of the new process.
	// FirstTable is 0 if no gateway did so before the process ended, and AllTables is 0 if not all gateways did.
	FirstTable, AllTables time.Duration
}

// Restarts returns the restarts of the coordinator in order.
func (l *Log) Restarts() []Restart {
	l.mu.Lock()
	defer l.mu.Unlock()
	var restarts []Restart
	for i := 1; i < len(l.coordinator); i++ {
		restarts = append(restarts, l.restart(l.coordinator[i-1], l.coordinator[i]))
	}
	return restarts
}

func (l *Log) restart(before, current interval) Restart {
	r := Restart{Down: before.to, Up: current.from}
	complete := true
	for _, g := range l.gateways {
		at, ok := g.firstTableOf(current)
		if !ok {
			complete = false
			continue
		}
		if r.FirstTable == 0 || at < r.FirstTable {
			r.FirstTable = at
		}
		r.AllTables = max(r.AllTables, at)
	}
	if !complete {
		r.AllTables = 0
	}
	return r
}

// firstTableOf returns when the gateway first applied a table of the coordinator process that ran in the given interval.
func (g *gatewayLog) firstTableOf(start interval) (at time.Duration, ok bool) {
	epochBefore := "" // epoch of the table that was in use when the process started
	for _, table := range g.tables {
		if table.at < start.from {
			epochBefore = table.version.epoch
			continue
		}
		ofThisStart := table.version.epoch != "" && table.version.epoch != epochBefore
		if ofThisStart && (start.open || table.at < start.to) {
			return table.at, true
		}
	}
	return 0, false
}
