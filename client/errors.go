package client

import (
	"errors"
	"fmt"
)

// ErrRejected matches every RejectedError, by errors.Is.
var ErrRejected = errors.New("rejected")

// RejectedError is a coordinator's response with an HTTP status of 400 or above. The message changed nothing.
type RejectedError struct {
	StatusCode int
	Message    string // the response's body
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("rejected: %d: %s", e.StatusCode, e.Message)
}

// Is reports whether the target is ErrRejected.
func (e *RejectedError) Is(target error) bool { return target == ErrRejected }

var errResponseTooLarge = fmt.Errorf("the response has more than %d bytes", maxResponseBytes)
