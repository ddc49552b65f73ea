// Package policylog writes and reads the log lines of the decision module.
//
// Captures contain the lines and replays compare them, so their texts must never change. For operators, [Parse] turns a
// line into an [Entry]: an event name, its figures and a message in standard terms, which both coordinators log.
//
// The functions are pure and safe for concurrent use.
package policylog
