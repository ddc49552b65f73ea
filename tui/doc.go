// Package tui is the operators' screen: what goes on at a coordinator, or went on by a capture, in a terminal of 80 columns and 24
// lines or more, with or without colour. A Model is fed Moments; drawing one is pure and tested as text.
package tui
