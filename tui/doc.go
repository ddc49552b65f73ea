// Package tui is the operators' terminal view: what happens at a running coordinator, or what happened by a capture. It
// needs 80 columns and 24 lines, with or without colour.
//
// A Model is a bubbletea model. It is given frames by a Source; drawing one is pure and tested as text.
package tui
