package fault

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Error is an error of one kind, with a text for people and an optional delay before a retry.
type Error struct {
	kind       Kind
	text       string
	retryAfter time.Duration
	outcome    Outcome
	cause      error
}

// New returns an error of the kind with the formatted text.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{kind: kind, text: fmt.Sprintf(format, args...), outcome: kind.Properties().Outcome}
}

// Wrap returns an error of the kind that keeps cause for errors.Is and errors.As.
func Wrap(kind Kind, cause error, format string, args ...any) *Error {
	err := New(kind, format, args...)
	err.cause = cause
	return err
}

// WithRetryAfter returns a copy of the error that advises a retry after the delay.
func (e *Error) WithRetryAfter(delay time.Duration) *Error {
	copied := *e
	copied.retryAfter = delay
	return &copied
}

// WithOutcome returns a copy of the error whose outcome differs from its kind's.
func (e *Error) WithOutcome(outcome Outcome) *Error {
	copied := *e
	copied.outcome = outcome
	return &copied
}

// Error returns the kind's name and the text.
func (e *Error) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("%s: %s: %v", e.kind, e.text, e.cause)
	}
	return fmt.Sprintf("%s: %s", e.kind, e.text)
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Is reports whether target is an error of the same kind.
func (e *Error) Is(target error) bool {
	other, ok := target.(*Error)
	return ok && other.kind == e.kind
}

// Kind returns the error's kind.
func (e *Error) Kind() Kind { return e.kind }

// Text returns the text for people, without the cause.
func (e *Error) Text() string { return e.text }

// Outcome returns whether the request that this error answers ran.
func (e *Error) Outcome() Outcome { return e.outcome }

// RetryAfter returns the advised delay before a retry, zero if there is none.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// As returns err as an *Error, wrapping an error from elsewhere as Internal, and nil for nil.
func As(err error) *Error {
	if err == nil {
		return nil
	}
	var found *Error
	if errors.As(err, &found) {
		return found
	}
	return Wrap(Internal, err, "unexpected error")
}

// KindOf returns the kind of err, Internal for an error from elsewhere.
func KindOf(err error) Kind {
	return As(err).Kind()
}

// IsKind reports whether err is of the kind.
func IsKind(err error, kind Kind) bool {
	return err != nil && KindOf(err) == kind
}
