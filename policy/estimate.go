package policy

import "math"

// epsilon replaces a divisor of zero: rates and capacities that matter are far above it.
const epsilon = 1e-9

// sum adds from left to right; the order matters to the last bit.
func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

// smoothing is how far a smoothed figure moves to a new value each round.
const smoothing = 0.5

// smooth moves a figure toward a new value by one round.
func smooth(figure *float64, value float64) {
	*figure += smoothing * (value - *figure)
}

// decayStep returns the seconds that a count covers which arrives now, where the previous one arrived at last (0: there
// was none), and the step by which a mean moves toward the new value in that time: half way each round.
func decayStep(now, last micros, roundSeconds float64) (seconds, step float64) {
	seconds = roundSeconds
	if last != 0 {
		seconds = max(roundSeconds, float64(now-last)/float64(second))
	}
	return seconds, 1 - math.Pow(1-smoothing, seconds/roundSeconds)
}
