// Package loadreport decides how much of the gateways' load reports is taken when more comes than can be processed, so that
// the estimates made from the rest are unbiased and their error is known.
//
// A report has two parts. The demand at the gateway, a few figures, is always taken. What the gateway observed at endpoints,
// one line per endpoint and request class, is most of the work. Lines that signal a failing endpoint are always taken;
// the routine ones are sampled: those of a gateway are taken in a fraction p of its reports, by a rotation that each
// gateway enters at a place of its own. So every gateway is sampled at least once in 1/p reports, and a line that is
// taken counts for 1/p lines.
//
// Reports that are late, lost or requested less often are missing from a round. The estimate of an endpoint is therefore
// the mean over the reports that came, times the number of reporting gateways; how many did not report goes into the
// error.
//
// The package is pure: times are passed in, and the rotation comes from hashes. docs/intake.md gives the reasons for the
// rules and the measured errors.
//
// A [Sampler] has the state. For each report call [Sampler.Decide], then [Sampler.Sample] for each line; once a period call
// [Sampler.EndRound], after which [Sampler.Estimate] has the new estimates. A Sampler is not safe for concurrent use. Times
// are microseconds, rates are per second.
package loadreport
