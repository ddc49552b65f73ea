package policy

import "math"

const (
	// windowLatencies and windowSlack make up the length of the window: the time until an acknowledgement arrives, as a
	// multiple of the longest latency, and the longest pause between two turns.
	windowLatencies = 2
	windowSlack     = second / 2
	// removalWindows is the number of windows that removals may fill.
	removalWindows = 1.5
	// windowGraceDivisor divides the drain grace period: a required change that has waited for longer than the quotient
	// may use more than the window.
	windowGraceDivisor = 4
	// replicaWindowShare is the share of the window that a line to all proxies of a replica may take.
	replicaWindowShare = 0.125
)

// windowLines is the number of lines in the queue that keep the channel busy until acknowledgements make room for more.
// Lines beyond it would arrive late, could not be overtaken by more urgent ones, and would be lost if their proxy
// disconnects. The window is unlimited if the channel's throughput is unknown.
func (c *channel) windowLines() float64 {
	if c.linesPerSecond <= 0 {
		return math.Inf(1)
	}
	return c.linesPerSecond * float64(windowLatencies*c.maxLatency+windowSlack) / float64(second)
}

// routineLimit is the number of lines in the queue up to which routine changes may fill it.
func (c *channel) routineLimit() float64 { return min(routineShare*c.queueLimit, c.windowLines()) }

// requiredLimit is the number of lines in the queue up to which a change that the rules require may fill it: a number of
// windows, or a share of the queue limit once the change has waited for a part of the grace period. That happens if the
// channel is slower than configured.
func (c *channel) requiredLimit(now, since micros, windows, share float64) float64 {
	if now-since > c.drainGracePeriod/windowGraceDivisor {
		return share * c.queueLimit
	}
	return min(share*c.queueLimit, windows*c.windowLines())
}
