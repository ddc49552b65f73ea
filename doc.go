// Package porthub is the root of a traffic director for sidecar fleets, which README.md describes. The program is in
// cmd/porthub; this package contains only tests of the whole module.
package porthub
