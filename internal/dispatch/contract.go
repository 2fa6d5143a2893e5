// Package dispatch sends requests to targets: it queues them fairly, chooses the
// target, and retries where that is safe.
package dispatch

import (
	"context"
	"time"

	"github.com/sequoiaroad/sequoiaroad/internal/target"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

// Completion is a validated request for a completion.
type Completion struct {
	RequestID string
	AccountID string
	Model     string
	Chat      bool
	// Body is the caller's JSON body, without credentials.
	Body map[string]any
	// Prompt holds the canonical prompt bytes; for a chat, those of prefix.ChatPrompt.
	Prompt          []byte
	MaxOutputTokens int
	Deadline        time.Time
	// AllowDispatch is called right before each attempt is sent; an error (a
	// *refusal.Error) ends the request without sending. Nil allows every attempt.
	AllowDispatch func() error
	// ResumeFrom is set when a caller reconnects.
	ResumeFrom *StreamPosition
}

// StreamPosition identifies a position in a stream that an engine may still keep.
type StreamPosition struct {
	EngineRequestID string
	TargetID        string
	Epoch           string
	// Offset is the number of tokens that the caller has received.
	Offset int
}

// Token is one token of the response. Tokens are delivered in order and without
// repeats.
type Token struct {
	Position     StreamPosition // after this token
	Text         string
	FinishReason string
}

// Result is the outcome of a completion.
type Result struct {
	Usage    target.Usage
	TargetID string
	Attempts int
	// TimeToFirstToken is measured from the call of Complete.
	TimeToFirstToken time.Duration
}

// Completer runs completions. It calls sink for each token in order; an error from sink
// means that the caller accepts no more tokens, and cancels the completion at the engine.
// A returned *refusal.Error states whether the request was executed.
type Completer interface {
	Complete(ctx context.Context, c *Completion, sink func(Token) error) (Result, error)
}

// Explanation describes how the router would choose the target of a request.
type Explanation struct {
	Policy     string      `json:"policy"`
	Chosen     string      `json:"chosen"`
	Reason     string      `json:"reason"`
	Candidates []Candidate `json:"candidates"`
}

// Candidate is one target with the components of its predicted time to first token.
type Candidate struct {
	Target         string  `json:"target"`
	CachedTokens   int     `json:"cached_tokens"`
	UncachedTokens int     `json:"uncached_tokens"`
	NetworkMs      float64 `json:"network_ms"`
	QueueMs        float64 `json:"queue_ms"`
	PrefillMs      float64 `json:"prefill_ms"`
	LoadMs         float64 `json:"load_ms"`
	TotalMs        float64 `json:"total_ms"`
	Excluded       string  `json:"excluded,omitempty"`
}

// Explainer explains routing decisions for debugging.
type Explainer interface {
	Explain(accountID, model string, prompt []byte) Explanation
}

// ServiceChooser chooses replicas of plain services.
type ServiceChooser interface {
	// ChooseService returns a live replica that is not in tried, and a function that
	// must be called with the result of the call. It returns a *refusal.Error if there
	// is none.
	ChooseService(service string, tried []string) (*config.Target, func(err error), error)
}

// LeavingObserver receives the targets that the platform's host list marks as leaving.
type LeavingObserver interface {
	ObserveLeaving(targetIDs []string)
}
