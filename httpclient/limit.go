package httpclient

import (
	"context"
	"errors"
	"fmt"
	"time"
)

var (
	// ErrSilent means that a call was ended because no bytes of its response arrived for too long.
	ErrSilent = errors.New("no bytes arrived")
	// ErrTooSlow means that a call was ended because its response arrived too slowly.
	ErrTooSlow = errors.New("the response took too long")
)

// Limits bound a call whose response may arrive in pieces.
type Limits struct {
	Silence time.Duration // the longest time without a byte
	Total   time.Duration // the longest time of the call
}

// Limit returns a context for a call that ends with [ErrSilent] or [ErrTooSlow] as its cause when it exceeds a limit. stop must be
// called at the end of the call. The transport must dial by [HookReads].
func Limit(ctx context.Context, limits Limits) (limited context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	silence := time.AfterFunc(limits.Silence, func() { cancel(fmt.Errorf("%w for %s", ErrSilent, limits.Silence)) })
	total := time.AfterFunc(limits.Total, func() { cancel(fmt.Errorf("%w: more than %s", ErrTooSlow, limits.Total)) })
	ctx = WithReadHook(ctx, func(int) { silence.Reset(limits.Silence) })
	return ctx, func() {
		silence.Stop()
		total.Stop()
		cancel(nil)
	}
}

// CauseOr returns the cause of a context's cancellation, or err if it is not canceled. The errors of net/http only say that the
// context of a call was canceled.
func CauseOr(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
