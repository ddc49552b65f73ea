package audit

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// DeliveryLatency returns the times from the writing of a file to its use by a gateway, in microseconds.
func (l *Log) DeliveryLatency() *hdrhistogram.Histogram {
	l.mu.Lock()
	defer l.mu.Unlock()
	return hdrhistogram.Import(l.delivery.Export())
}

// DocumentCounts returns how many documents gateways read that were complete, and how many that were not.
func (l *Log) DocumentCounts() (complete, incomplete int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.completeDocs, l.incompleteDocs
}

// PeakLoadRatio is the work that arrived at the busiest endpoint in its busiest second, as a multiple of the mean over
// all endpoints and all seconds in which they had any.
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

// Restart is a start of the coordinator after its first.
type Restart struct {
	Down, Up time.Duration
	// FirstTable and AllTables are when the first and the last gateway used a table of this start; 0: none did, or not
	// all before its end.
	FirstTable, AllTables time.Duration
}

// Restarts lists the restarts of the coordinator.
func (l *Log) Restarts() []Restart {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Restart
	for i := 1; i < len(l.coordinator); i++ {
		out = append(out, l.restart(l.coordinator[i-1], l.coordinator[i]))
	}
	return out
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

// firstTableOf returns when the gateway first used a table of a start of the coordinator.
func (g *gatewayLog) firstTableOf(start interval) (at time.Duration, ok bool) {
	epochBefore := "" // of the table that it used when this start began
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
