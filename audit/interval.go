package audit

import "time"

// interval is a time during which something was connected or running.
type interval struct {
	from time.Duration
	to   time.Duration // if it has ended
	open bool          // it has not ended
}

// end is when the interval ended; an open one ends with the run.
func (i interval) end(run time.Duration) time.Duration {
	if i.open {
		return run
	}
	return i.to
}

// setState begins or ends the last interval. A state that is repeated changes nothing.
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

// overlaps returns when both were on, up to the end of the run.
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
