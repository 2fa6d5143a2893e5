// Package message defines what a host reads from a caller's request, adds to it for a
// target, and reads from the target's response, in the types of the router. The codec
// defines the names on the wire.
package message

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/backpressure"
	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

// Part is one part of a prompt, as named by the caller.
type Part struct {
	ID     string
	Tokens int
}

// Request is the content of a caller's request headers.
type Request struct {
	ID string
	// Timeout is how long the caller waits; zero if not stated.
	Timeout   time.Duration
	ClientKey string
	Model     string
	// Parts are the parts of the prompt in order; the last belongs to the request or
	// its session.
	Parts []Part
	// Tokens is the sum of the prompt tokens and the maximum of output tokens;
	// HasTokens is false if the caller states none.
	Tokens    int
	HasTokens bool
	// Resumes means that the caller continues a stream after an event.
	Resumes bool
}

// NoPriority leaves the priority at the target's default.
const NoPriority = -1

// Envelope holds what the host adds to a request for a target.
type Envelope struct {
	TargetID string
	// Timeout is the remaining time; zero sends none.
	Timeout  time.Duration
	Account  string
	Priority int
	// WeightsVersion is the version that the target must have; zero means any.
	WeightsVersion int64
	// CacheSalt separates cached parts that must not be shared.
	CacheSalt string
	// FetchFrom and SaveTo are addresses to copy cached parts from and to, or "".
	FetchFrom, SaveTo string
	// LastEventID makes the target continue a stream after an event, or "".
	LastEventID string
}

// Response is the content of a target's response headers.
type Response struct {
	ID string
	// NotExecuted means that the target did not execute the request and never will.
	NotExecuted bool
	// WrongTarget means that another target or other weights responded.
	WrongTarget bool
	// InstanceID is the ID of the target that responded, or "".
	InstanceID string
	// WeightsVersion is the version that produced the response; zero if not stated.
	WeightsVersion int64
	// KeepAlive is how long the target keeps an idle connection; zero if not stated.
	KeepAlive time.Duration
	// Backpressure is what the target asks of the hosts.
	Backpressure backpressure.Statement
}

// Codec translates headers between the wire and the types of the router.
type Codec interface {
	// Request reads the headers of a caller's request.
	Request(h http.Header) Request
	// Outbound returns the headers for a target: the caller's, without those that
	// concern one connection or that only the host may set, and the envelope's.
	Outbound(caller http.Header, e Envelope) http.Header
	// Response reads the headers of a target's response.
	Response(resp *http.Response) Response
}

// WeightsOrder orders a target to load a weights version.
type WeightsOrder struct {
	Model        string
	Version      int64
	Holder       string
	FencingToken uint64
	// ExpectedSequence is the number of orders that the target must have accepted
	// before.
	ExpectedSequence int64
}

// OrderOutcome is a target's response to an order.
type OrderOutcome uint8

// The outcomes of an order. OrderUnknown includes a missing response: the order may be
// executed later. OrderAlreadyLoaded means that the target has the version,
// OrderConflict that it has accepted another number of orders than expected, and
// OrderFenced that it has accepted a newer fencing token.
const (
	OrderUnknown OrderOutcome = iota
	OrderAccepted
	OrderAlreadyLoaded
	OrderConflict
	OrderFenced
	OrderRefused
)

func (o OrderOutcome) String() string {
	return [...]string{"unknown", "accepted", "holds", "conflict", "fenced", "refused"}[o]
}

// EngineState is a target's report, some hundred milliseconds old. Sequence is the
// number of orders that the target has accepted; Weights holds the loaded versions by
// model.
type EngineState struct {
	Busy     bool
	Sequence int64
	Running  int
	Queued   int
	Weights  map[string]int64
	Started  int64
}

// CacheHolder is an engine, or the KV store if TargetID is empty.
type CacheHolder struct {
	TargetID string
	Address  string
}

// CacheEvent reports that a holder stored or evicted a part of a prompt.
type CacheEvent struct {
	Stored bool
	Salt   string
	PartID string
	Model  string
	// Tokens is the number of the part's tokens that are stored now; an evicted part
	// may keep some.
	Tokens int
}

// CacheEvents are the events from a sequence number on.
type CacheEvents struct {
	// Epoch changes when the holder restarts.
	Epoch      int64
	NextNumber int64
	// HasGap means that events before these are missing.
	HasGap bool
	Events []CacheEvent
}

// Engines is the control interface of model engines.
type Engines interface {
	// State reads a target's report.
	State(ctx context.Context, t *topology.Target) (EngineState, error)
	// Order sends an order; its outcome is OrderUnknown if there is no response.
	Order(ctx context.Context, t *topology.Target, o WeightsOrder) (OrderOutcome, error)
	// CacheEvents waits up to wait for events from the sequence number since on.
	CacheEvents(ctx context.Context, holder CacheHolder, since int64, wait time.Duration) (CacheEvents, error)
}

// StatusError is the error of a call that a target has answered with an unexpected status.
type StatusError struct {
	Op, TargetID string
	Status       int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("%s at %s: status %d", e.Op, e.TargetID, e.Status)
}
