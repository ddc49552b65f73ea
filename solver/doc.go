// Package solver turns what calc nodes can carry, what reqs cost them and what gateways ask for into weights that crush
// nobody. It carries the paper's mechanism on from groups to the single node and request kind: a price for each node, a
// Newton-Exact-Diagonal step on prices, F-NORM as the last word. It is pure: no I/O, no clock, no state but what is
// handed in.
//
// Solve is given the weights that the decision module wants. Where they keep every limit they come back untouched.
// Elsewhere the answer is the nearest that keeps them, nearest by relative entropy: a line's weight is multiplied by
// exp(-β·cost·price of its node), and what even that can't place is turned away, the least payoff first. docs/solver.md
// has the mathematics.
//
// Judge tells which node fails which request kind, Estimate what nodes can do, and Keeper decides when the solver's
// answer acts, so that it neither flaps nor moves everything at once.
package solver
