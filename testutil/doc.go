// Package testutil has helpers that tests of several packages share: golden files, values with every field set, and the check
// that types which are stored or sent name their keys.
package testutil
