// Package target provides the clients for engines and plain services.
package target

import (
	"context"
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
)

// CompletionRequest is one attempt at an engine.
type CompletionRequest struct {
	// RequestID identifies the request and attempt at the engine.
	RequestID string
	Chat      bool
	// Body is the caller's JSON body after validation, without credentials.
	Body map[string]any
	// CacheSalt is the hexadecimal seed of the block hash chain.
	CacheSalt string
	Priority  int
	// ResumeText and ResumeOffset continue a completion whose first ResumeOffset
	// tokens are ResumeText; zero starts from the beginning.
	ResumeText   string
	ResumeOffset int
}

// Usage is the engine's token count for one attempt.
type Usage struct {
	PromptTokens     int
	CompletionTokens int
	CachedTokens     int
}

// TokenEvent is one event of a stream.
type TokenEvent struct {
	// Offset counts tokens from the start of the completion.
	Offset int
	Text   string
	// FinishReason is set on the last token event.
	FinishReason string
	// Usage is set on the event after the last token.
	Usage *Usage
	// Done is set on the end marker; a stream that ends without it is broken.
	Done bool
}

// TokenStream reads the events of one attempt in order.
type TokenStream interface {
	Next() (TokenEvent, error)
	// Epoch returns the engine's epoch, from its response headers.
	Epoch() string
	// Close stops reading. It also cancels the request at the engine unless Done was
	// received.
	Close()
}

// LoadReport is the load that an engine reports about itself; it arrives with a delay.
type LoadReport struct {
	Epoch                string
	WeightsVersion       string
	Running              int
	Waiting              int
	PendingPrefillTokens int
	Draining             bool
	MeasuredAt           time.Time
}

// EngineClient calls engines. Errors are *CallError. Cancelling the context of Complete
// or Resume unblocks Next and releases the connection without cancelling the request at
// the engine, so that the stream can be resumed there.
type EngineClient interface {
	Complete(ctx context.Context, t *config.Target, r *CompletionRequest) (TokenStream, error)
	// Resume continues a stream that the engine still keeps, from a token offset.
	Resume(ctx context.Context, t *config.Target, requestID string, offset int) (TokenStream, error)
	Cancel(ctx context.Context, t *config.Target, requestID string) error
	Load(ctx context.Context, t *config.Target) (LoadReport, error)
}

// CallError describes a failed call of a target.
type CallError struct {
	Step   string // dial, send, response, stream
	Target string
	// NotExecuted is set if the request was provably not executed: no byte was written to
	// the target, or the target reported it.
	NotExecuted bool
	// Draining is set if the target rejected the request because it is leaving.
	Draining bool
	// Status is the HTTP status, zero if there was no response.
	Status int
	Err    error
}

func (e *CallError) Error() string { return e.Step + " at target " + e.Target + ": " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *CallError) Unwrap() error { return e.Err }

// CacheEvent reports that an engine stored or evicted a block.
type CacheEvent struct {
	Sequence uint64
	Hash     prefix.BlockHash
	Stored   bool
}

// CacheEvents is one response of an engine's cache event endpoint.
type CacheEvents struct {
	Epoch string
	// Reset means that Events lists all blocks held, as of Sequence, instead of
	// changes.
	Reset    bool
	Sequence uint64
	Events   []CacheEvent
}

// Observer receives the results of polls. Calls for one target come from one goroutine.
// ObserveCacheEvents returns the epoch and sequence number from which the next poll
// continues; an empty epoch requests the full list.
type Observer interface {
	ObserveLoad(targetID string, r LoadReport)
	ObserveCacheEvents(targetID string, e CacheEvents) (epoch string, after uint64)
	ObserveUnreachable(targetID string, err error)
}
