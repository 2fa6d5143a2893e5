// Package idempotency makes non-idempotent requests run at most once, by claims in
// the platform's table service.
package idempotency

import (
	"context"
	"time"
)

// Key names a non-idempotent request of one client account.
type Key struct {
	AccountID      string
	Service        string
	IdempotencyKey string
	// Fingerprint is a hash over method, path, query and body.
	Fingerprint string
}

// Response is a recorded answer of a target.
type Response struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// Claim is the right to send a request once.
type Claim interface {
	// AllowSend is asked right before the first byte is sent. After it returned nil
	// once, the request counts as sent. An error is a *refusal.Error.
	AllowSend(deadline time.Time) error
	// Complete records the answer. It keeps trying in the background while the
	// store is down; the answer may be given to the caller meanwhile.
	Complete(ctx context.Context, a Response)
	// NotRun records that the request proved not to have run.
	NotRun(ctx context.Context)
	// Unknown records that the outcome is not known.
	Unknown(ctx context.Context)
}

// Record is a claim as operators see it.
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

// Registry claims requests. Begin returns either a Claim, or a recorded Answer, or a
// *refusal.Error (still running, outcome unknown, key reused, platform unavailable).
type Registry interface {
	Begin(ctx context.Context, k Key) (Claim, *Response, error)
	// Unresolved lists records whose outcome is unknown or whose holder is gone.
	Unresolved(ctx context.Context) ([]Record, error)
	// Resolve stores an outcome for an unresolved record; it never allows another run.
	Resolve(ctx context.Context, id, operator, note string, answer *Response) error
}
