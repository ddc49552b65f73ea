// Package fleets draws random fleets of all hard cases, finds the exact optimum of small ones, and measures solutions of
// package solver on them, for tests, measurements and the command line.
//
// [Draw] makes one random fleet, [Optimum] solves a small one by linear programming, and [Measure] runs the solver on many. All
// draws come from the seeds given. No coordinator uses the package.
package fleets
