// Package quota enforces the token limits of client accounts over all hosts.
package quota

import "context"

// Reservation holds tokens for one request.
type Reservation interface {
	// Valid reports whether the request may still be dispatched: not too long after
	// the reservation, by the monotonic clock.
	Valid() bool
	// Settle gives back what was not used. It is called exactly once.
	Settle(usedTokens int64)
}

// Limiter reserves tokens. An error is a *refusal.Error.
type Limiter interface {
	Reserve(ctx context.Context, accountID string, tokens int64) (Reservation, error)
}
