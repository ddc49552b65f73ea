package capture

import (
	"errors"
	"fmt"
)

// Errors of reading a capture. They are wrapped; test for them with [errors.Is].
var (
	// ErrFormat is a record that was written with a valid checksum but can't be decoded by this build.
	ErrFormat = errors.New("not a capture record")
	// ErrNoSegments is a directory without segments.
	ErrNoSegments = errors.New("no capture segments")
	// ErrNothingRecorded is a time before the first step of a capture.
	ErrNothingRecorded = errors.New("nothing was recorded up to that time")
)

// NewerFormatError is a capture in a format that this build does not know yet. It is an [ErrFormat].
type NewerFormatError struct {
	Format int    // of the capture
	Build  string // that wrote it
}

func (e *NewerFormatError) Error() string {
	return fmt.Sprintf("%v: format %d, written by build %s; this build reads up to %d: use that build", ErrFormat, e.Format, e.Build, Format)
}

// Is makes every NewerFormatError an [ErrFormat].
func (e *NewerFormatError) Is(target error) bool { return target == ErrFormat }

// DamageError reports why a block of a segment can't be read.
type DamageError struct {
	Problem string
	// Truncated is a block that extends beyond the end of its segment, as a killed process leaves it.
	Truncated bool
	cause     error
}

func (e *DamageError) Error() string { return e.Problem }

// Unwrap returns the underlying error of the file or the decoder; nil if there is none.
func (e *DamageError) Unwrap() error { return e.cause }
