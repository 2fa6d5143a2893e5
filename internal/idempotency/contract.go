// Package idempotency makes each non-idempotent request run at most once. A host claims
// a request in the platform's table service before it sends the request, and records the
// outcome there.
package idempotency

import (
	"context"
	"time"
)

// Key identifies a non-idempotent request of one client account.
type Key struct {
	AccountID      string
	Service        string
	IdempotencyKey string
	// Fingerprint is a hash of method, path, query and body.
	Fingerprint string
}

// Response is the recorded response of a target.
type Response struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// Claim is the right to send a request once.
type Claim interface {
	// AllowSend is called right before the first byte is sent. Once it has returned nil,
	// the request counts as sent. An error is a *refusal.Error.
	AllowSend(deadline time.Time) error
	// Complete records the response. While the store is unavailable the write is retried
	// in the background; the caller may receive the response before it is recorded.
	Complete(ctx context.Context, response Response)
	// MarkNotExecuted records that the request was provably not executed.
	MarkNotExecuted(ctx context.Context)
	// MarkUnknown records that the outcome is not known.
	MarkUnknown(ctx context.Context)
}

// Record is an unresolved claim in the form that operators receive.
type Record struct {
	ID             string    `json:"id"`
	AccountID      string    `json:"account_id"`
	Service        string    `json:"service"`
	IdempotencyKey string    `json:"idempotency_key"`
	State          string    `json:"state"`
	HostID         string    `json:"host_id"`
	Incarnation    string    `json:"incarnation"`
	ClaimedAt      time.Time `json:"claimed_at"`
	ResolvedBy     string    `json:"resolved_by,omitempty"`
	Note           string    `json:"note,omitempty"`
}

// Registry claims requests.
type Registry interface {
	// Begin returns a Claim, the recorded Response of an earlier request with the same
	// key, or a *refusal.Error (still running, outcome unknown, key reused, too many open
	// claims, platform unavailable).
	Begin(ctx context.Context, key Key) (Claim, *Response, error)
	// Unresolved lists records whose outcome is unknown or whose holder is dead.
	Unresolved(ctx context.Context) ([]Record, error)
	// Resolve stores an operator's outcome of an unresolved record. It never allows the
	// request to run again.
	Resolve(ctx context.Context, id, operator, note string, response *Response) error
}
