// Package file reads the endpoint list from a file in Prometheus's file_sd format: a JSON list of groups, each with its
// targets (address:port) and the labels of all of them.
//
//	[{"targets": ["127.0.0.1:9001"], "labels": {"zone": "hala-a", "weight": "2", "machine": "std-2c", "pod": "3",
//	  "status": "ready", "launched": "2026-11-30T08:00:00Z"}}]
//
// The label zone is required. Optional are weight (1), machine, pod (0), status (ready; or draining) and launched
// (unknown), which is a time of RFC 3339 or microseconds since 1970. Other labels are ignored.
//
// [Parse] and [Load] read a list once; an invalid one is an error that wraps [ErrInvalidList]. A [Source] follows a file: it runs
// in the caller's goroutine until the context ends, and delivers each changed list, or error, by a callback.
package file
