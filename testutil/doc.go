// Package testutil provides helpers that the tests of several packages share: golden files, values with every field set, a check
// that types which are stored or sent have explicit keys, and property tests with a fixed seed.
package testutil
