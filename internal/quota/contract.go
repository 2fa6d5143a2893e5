// Package quota enforces the token limits of client accounts over all hosts.
//
// The tokens of an account are divided among its home hosts; the first of them, the
// owner, holds most. The homes grant tokens to hosts that need more than they hold. A
// grant expires, and its unspent tokens are returned.
package quota

import "context"

// Reservation holds tokens for one request.
type Reservation interface {
	// Valid reports whether the request may still be dispatched: the time since the
	// reservation, by the monotonic clock, must be below the freshness deadline.
	Valid() bool
	// Settle releases the tokens that were not used. It must be called exactly once.
	Settle(usedTokens int64)
}

// Limiter reserves tokens. An error is a *refusal.Error.
type Limiter interface {
	Reserve(ctx context.Context, accountID string, tokens int64) (Reservation, error)
}
