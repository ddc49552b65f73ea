// Package fleets generates random fleets of all hard cases, computes the exact optimum of small ones, and measures the solutions
// of package solver on them. Tests, measurements and the command line use it; the coordinator does not.
//
// [Draw] generates one random fleet, [Optimum] solves a small fleet by linear programming, and [Measure] runs the solver on many
// fleets. All random numbers derive from the seeds that callers pass.
package fleets
