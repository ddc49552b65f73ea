// Package porthub is a traffic director for sidecar fleets; see README.md. The program is cmd/porthub.
package porthub
