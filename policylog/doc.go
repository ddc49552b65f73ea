// Package policylog writes and reads the log lines of the decision module.
//
// Captures hold the lines and replays compare them, so their texts stay as they were first written. People read them in
// the terms of the field: Parse returns the event, its figures and a sentence, which both coordinators log.
package policylog
