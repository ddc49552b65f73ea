package client

import (
	"errors"
	"fmt"
)

// ErrRejected matches every RejectedError in errors.Is.
var ErrRejected = errors.New("rejected by the coordinator")

// RejectedError is the error for a coordinator's response with an HTTP status of 400 or above. The message had no
// effect, but the acknowledgement in a rejected poll may have been processed.
type RejectedError struct {
	StatusCode int
	Message    string // body of the response
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("rejected by the coordinator: status %d: %s", e.StatusCode, e.Message)
}

// Is reports whether the target is ErrRejected.
func (e *RejectedError) Is(target error) bool { return target == ErrRejected }

var errResponseTooLarge = fmt.Errorf("the response has more than %d bytes", maxResponseBytes)
