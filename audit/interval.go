package audit

import "time"

// interval is a period in which a gateway was connected or the coordinator was running.
type interval struct {
	from time.Duration
	to   time.Duration // not set while the interval is open
	open bool          // the interval has not ended
}

// end returns the end of the interval. An open interval ends with the run.
func (i interval) end(run time.Duration) time.Duration {
	if i.open {
		return run
	}
	return i.to
}

// setState starts a new interval or ends the last one. Setting the current state again has no effect.
func setState(intervals []interval, at time.Duration, on bool) []interval {
	last := len(intervals) - 1
	running := last >= 0 && intervals[last].open
	if on && !running {
		return append(intervals, interval{from: at, open: true})
	}
	if !on && running {
		intervals[last].to = at
		intervals[last].open = false
	}
	return intervals
}

// overlaps returns the periods that both a and b cover, up to the end of the run.
func overlaps(a, b []interval, run time.Duration) []interval {
	var both []interval
	for _, x := range a {
		for _, y := range b {
			common := interval{from: max(x.from, y.from), to: min(x.end(run), y.end(run))}
			if common.from < common.to {
				both = append(both, common)
			}
		}
	}
	return both
}
