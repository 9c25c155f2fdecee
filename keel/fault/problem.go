package fault

import (
	"math"
	"strconv"
	"time"
)

// ProblemContentType is the media type of RFC 9457.
const ProblemContentType = "application/problem+json"

// Problem is the body of an error answer, after RFC 9457.
type Problem struct {
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail,omitempty"`
	Kind    string  `json:"kind"`
	Outcome Outcome `json:"outcome"`
	Retry   Retry   `json:"retry"`
	// RetryAfterMillis is the advised delay before a retry in milliseconds.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

// Problem returns the body of the error's answer.
func (e *Error) Problem() Problem {
	answer := e.kind.Properties()
	return Problem{
		Type:             "about:blank",
		Title:            answer.Name,
		Status:           answer.Status,
		Detail:           e.text,
		Kind:             answer.Name,
		Outcome:          e.outcome,
		Retry:            answer.Retry,
		RetryAfterMillis: e.retryAfter.Milliseconds(),
	}
}

// RetryAfterHeader returns the value of the Retry-After header in whole seconds, empty if there is no advice.
func (e *Error) RetryAfterHeader() string {
	if e.retryAfter <= 0 {
		return ""
	}
	seconds := math.Ceil(float64(e.retryAfter) / float64(time.Second))
	return strconv.Itoa(int(seconds))
}

// FromProblem returns the error that a problem body describes.
func FromProblem(p Problem) *Error {
	kind, ok := KindByName(p.Kind)
	if !ok {
		return New(Internal, "answer with unknown kind %q: %s", p.Kind, p.Detail)
	}
	err := New(kind, "%s", p.Detail)
	err.outcome = p.Outcome
	err.retryAfter = time.Duration(p.RetryAfterMillis) * time.Millisecond
	return err
}
