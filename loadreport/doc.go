// Package loadreport samples the gateways' load reports when more of them arrive than can be processed, such that the load
// estimates made from the accepted part are unbiased and have a known error.
//
// A report has two parts. The demand at the gateway consists of a few figures and is always accepted. The gateway's
// observations at endpoints, one line per endpoint and request class, cause most of the work. Lines that signal a failing
// endpoint are always accepted. Routine lines are sampled: the lines of a gateway are accepted in a fraction p of its reports,
// selected by a rotation in which each gateway has its own phase. Every gateway is thus sampled at least once in 1/p reports,
// and an accepted line counts for 1/p lines.
//
// Reports that are late, lost or requested less often are missing from a round. The estimate of an endpoint is therefore
// the mean over the received reports, multiplied by the number of connected gateways. The number of missing reports goes
// into the error of the estimate.
//
// The package does no I/O and reads no clock: times are passed in, and the rotation is derived from hashes. docs/intake.md
// gives the reasons for the rules and the measured errors.
//
// A [Sampler] holds the state. Call [Sampler.Decide] for each report, then [Sampler.Sample] for each of its lines. Call
// [Sampler.EndRound] once a period; [Sampler.Estimate] then returns the new estimates. A Sampler is not safe for concurrent
// use. Times are in microseconds, and rates are per second.
package loadreport
