package policy

import "math"

// epsilon replaces divisors of zero. Significant rates and capacities are far above it.
const epsilon = 1e-9

// sum adds the values from left to right. The order is fixed because it affects the rounding.
func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

// smoothing is the fraction of the difference to a new value by which a smoothed figure moves each round.
const smoothing = 0.5

// smooth moves a figure toward a new value by one round.
func smooth(figure *float64, value float64) {
	*figure += smoothing * (value - *figure)
}

// decayStep returns the seconds that a count covers if it arrives now and the previous one arrived at last (0: there was
// none). It also returns the fraction of the difference to the new value by which a mean moves in that time: one half for
// each round.
func decayStep(now, last micros, roundSeconds float64) (seconds, step float64) {
	seconds = roundSeconds
	if last != 0 {
		seconds = max(roundSeconds, float64(now-last)/float64(second))
	}
	return seconds, 1 - math.Pow(1-smoothing, seconds/roundSeconds)
}
