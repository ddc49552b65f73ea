// Package fleets draws random fleets of all hard cases, finds the exact optimum of small ones, and measures solutions of
// package solver on them, for tests, measurements and the command line.
package fleets
