// Package file reads the endpoint list from a file in the file_sd format of Prometheus: a JSON list of groups, each with its
// targets (address:port) and the labels that apply to all of its targets.
//
//	[{"targets": ["127.0.0.1:9001"], "labels": {"zone": "hala-a", "weight": "2", "machine": "std-2c", "pod": "3",
//	  "status": "ready", "launched": "2026-11-30T08:00:00Z"}}]
//
// The label zone is required. The other labels are optional: weight (default 1), machine (default empty), pod (default 0),
// status (ready or draining, default ready), and launched, the start time in RFC 3339 or in microseconds since 1970 (default
// unknown). Further labels are ignored.
//
// [Parse] and [Load] read a list once. Their error for an invalid list wraps [ErrInvalidList]. A [Source] follows the changes of
// a file: it runs in the caller's goroutine until the context ends, and delivers each changed list or error with a callback.
package file
