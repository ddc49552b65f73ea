package capture

import (
	"errors"
	"fmt"
)

// Errors of reading a capture. They are wrapped; test for them with [errors.Is].
var (
	// ErrFormat reports a record that has a valid checksum but can't be decoded by this build.
	ErrFormat = errors.New("can't decode capture record")
	// ErrNoSegments reports a directory without segments.
	ErrNoSegments = errors.New("no capture segments")
	// ErrNothingRecorded reports a time before the first step of a capture.
	ErrNothingRecorded = errors.New("nothing was recorded up to that time")
)

// NewerFormatError reports a capture in a newer format than this build reads. It matches [ErrFormat].
type NewerFormatError struct {
	Format int    // of the capture
	Build  string // build that wrote the capture
}

func (e *NewerFormatError) Error() string {
	return fmt.Sprintf("%v: format %d, written by build %s; this build reads formats up to %d: use the build that wrote it", ErrFormat, e.Format, e.Build, Format)
}

// Is reports whether target is [ErrFormat], which every NewerFormatError matches.
func (e *NewerFormatError) Is(target error) bool { return target == ErrFormat }

// DamageError reports why a block of a segment can't be read.
type DamageError struct {
	Problem string
	// Truncated reports whether the block extends beyond the end of its segment, as after a kill of the writing process.
	Truncated bool
	cause     error
}

func (e *DamageError) Error() string { return e.Problem }

// Unwrap returns the underlying error of the file or the decoder; nil if there is none.
func (e *DamageError) Unwrap() error { return e.cause }
