// Package solver moves weights and limits admission so that no endpoint is offered more work than it can do. It applies the
// price mechanism of the paper to single endpoints and request classes: a price for each endpoint, a
// Newton-Exact-Diagonal step on prices, and F-NORM as the last step. It is pure: no I/O, no clock, and no state but what
// is passed in.
//
// Solve is given the weights that the decision module wants. Where they keep every limit they are returned unchanged.
// Otherwise the solution is the nearest one within the limits, by relative entropy: a weight is multiplied by
// exp(-β·cost·price of its endpoint), and what even that can't place is rejected, the lowest priority first.
// docs/solver.md has the mathematics.
//
// ClassHealth decides which endpoint fails which request class, CapacityEstimator and OvershootEstimator learn what
// endpoints can do and how much comes beyond the plan, and Activation decides when a solution replaces the module's
// weights, so that it neither oscillates nor moves everything at once.
//
// A reader starts with [Solve]. [Fleet] is its input and must pass [Fleet.Check]. Solve may be called concurrently for different
// fleets; the types that learn are not safe for concurrent use.
package solver
