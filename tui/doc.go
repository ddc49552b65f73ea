// Package tui is the operators' terminal view of a running coordinator or of a capture. It is designed for 80 columns and
// 24 lines, with or without color.
//
// A Model is a bubbletea model that fetches frames from a Source. Drawing a frame has no side effects; tests compare drawn
// screens as text.
package tui
