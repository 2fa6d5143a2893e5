// Package refusal defines the errors that callers receive. Every layer of the request path
// returns *Error when a request ends without a target's response.
package refusal

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Execution states whether a target executed a refused request.
type Execution string

// The values of Execution. NotExecuted is used only where no byte of the request can have
// reached a target, or the target itself reported that it did not execute the request.
const (
	NotExecuted      Execution = "not_run"
	ExecutionUnknown Execution = "unknown"
	Executed         Execution = "done"
)

// Code is the stable name of a kind of refusal.
type Code string

// The codes of refusals.
const (
	Unauthorized           Code = "unauthorized"
	KeyWithdrawn           Code = "key_withdrawn"
	InvalidRequest         Code = "invalid_request"
	BodyTooLarge           Code = "body_too_large"
	NotFound               Code = "not_found"
	MethodNotAllowed       Code = "method_not_allowed"
	RequestExceedsBurst    Code = "request_exceeds_burst"
	RateLimited            Code = "rate_limited"
	IdempotencyKeyRequired Code = "idempotency_key_required"
	IdempotencyKeyReused   Code = "idempotency_key_reused"
	StillRunning           Code = "still_running"
	OutcomeUnknown         Code = "outcome_unknown"
	HostNotFresh           Code = "host_not_fresh"
	HostDraining           Code = "host_draining"
	Overloaded             Code = "overloaded"
	DeadlineUnreachable    Code = "deadline_unreachable"
	PlatformUnavailable    Code = "platform_unavailable"
	TargetUnavailable      Code = "target_unavailable"
	TargetFailed           Code = "target_failed"
	StreamNotResumable     Code = "stream_not_resumable"
)

var statuses = map[Code]int{
	Unauthorized:           http.StatusUnauthorized,
	KeyWithdrawn:           http.StatusUnauthorized,
	InvalidRequest:         http.StatusBadRequest,
	BodyTooLarge:           http.StatusRequestEntityTooLarge,
	NotFound:               http.StatusNotFound,
	MethodNotAllowed:       http.StatusMethodNotAllowed,
	RequestExceedsBurst:    http.StatusBadRequest,
	RateLimited:            http.StatusTooManyRequests,
	IdempotencyKeyRequired: http.StatusBadRequest,
	IdempotencyKeyReused:   http.StatusUnprocessableEntity,
	StillRunning:           http.StatusConflict,
	OutcomeUnknown:         http.StatusConflict,
	HostNotFresh:           http.StatusServiceUnavailable,
	HostDraining:           http.StatusServiceUnavailable,
	Overloaded:             http.StatusServiceUnavailable,
	DeadlineUnreachable:    http.StatusServiceUnavailable,
	PlatformUnavailable:    http.StatusServiceUnavailable,
	TargetUnavailable:      http.StatusServiceUnavailable,
	TargetFailed:           http.StatusBadGateway,
	StreamNotResumable:     http.StatusConflict,
}

// Error is the error that a caller receives for a refused request.
type Error struct {
	Code      Code
	Message   string
	Execution Execution
	// RetryAfter is a hint; zero means that none is given.
	RetryAfter time.Duration
	// Addresses lists other hosts that the caller can try; it may be empty.
	Addresses []string
	// Cause is logged and never sent to the caller.
	Cause error
}

// New returns an error for a request that was not executed.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...), Execution: NotExecuted}
}

// WithExecution returns a copy with another execution state.
func (r *Error) WithExecution(execution Execution) *Error {
	c := *r
	c.Execution = execution
	return &c
}

// WithCause returns a copy that carries the cause for the log.
func (r *Error) WithCause(err error) *Error {
	c := *r
	c.Cause = err
	return &c
}

// WithRetryAfter returns a copy with a hint when to retry.
func (r *Error) WithRetryAfter(d time.Duration) *Error {
	c := *r
	c.RetryAfter = d
	return &c
}

func (r *Error) Error() string {
	if r.Cause != nil {
		return fmt.Sprintf("%s (%s): %s: %v", r.Code, r.Execution, r.Message, r.Cause)
	}
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Execution, r.Message)
}

// Unwrap returns the cause.
func (r *Error) Unwrap() error { return r.Cause }

// Status returns the HTTP status of the refusal.
func (r *Error) Status() int {
	if s, ok := statuses[r.Code]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// From returns the *Error in an error chain. Any other error becomes TargetFailed with
// ExecutionUnknown, since a target may have executed the request.
func From(err error) *Error {
	var r *Error
	if errors.As(err, &r) {
		return r
	}
	return New(TargetFailed, "the request failed").WithExecution(ExecutionUnknown).WithCause(err)
}
