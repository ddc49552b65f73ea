// Package solver computes weights and admission limits with which no endpoint is offered more work than it can do. It applies
// the price mechanism of the Flowtune paper to single endpoints and request classes: each endpoint has a price,
// Newton-Exact-Diagonal (NED) steps adjust the prices, and F-NORM removes the remaining overload. The package is pure: it does no
// I/O, reads no clock, and keeps no state except in the values that callers hold.
//
// Solve takes the weights that the decision module desires. If they respect every limit, Solve returns them unchanged.
// Otherwise the solution is the nearest one within the limits by relative entropy: each weight is multiplied by
// exp(-β·cost·price of its endpoint), and demand that still can't be placed is rejected, the lowest priority first.
// docs/solver.md describes the mathematics.
//
// ClassHealth decides which endpoints fail which request classes. CapacityEstimator estimates the capacity of endpoints, and
// OvershootEstimator how far their load exceeds the plan. Activation decides when a solution replaces the module's weights, so
// that weights neither oscillate nor all move at the same time.
//
// Start reading with [Solve]. Its input, [Fleet], must pass [Fleet.Check]. Solve may be called concurrently for different
// fleets; the stateful types are not safe for concurrent use.
package solver
