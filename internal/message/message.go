// Package message holds what a host reads from a caller's request, adds to it on the
// way to a target, and reads from the target's answer, in the terms of the router.
// The names on the wire belong to the codec.
package message

import (
	"context"
	"net/http"
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

// Part is one part of a prompt, as the caller names it.
type Part struct {
	ID     string
	Tokens int
}

// Request is what a caller's headers say.
type Request struct {
	ID string
	// Timeout is how long the caller waits; zero if it does not say.
	Timeout   time.Duration
	ClientKey string
	Model     string
	// Parts of the prompt in order; the last belongs to the request or its session.
	Parts []Part
	// Tokens are prompt tokens and the maximum of output tokens; HasTokens is false
	// if the caller names none.
	Tokens    int
	HasTokens bool
	// Resumes says that the caller continues a stream after an event.
	Resumes bool
}

// NoPriority leaves the priority at the target's default.
const NoPriority = -1

// Envelope is what the host adds to a request for a target.
type Envelope struct {
	TargetID string
	// Timeout is the time that is left; zero sends none.
	Timeout  time.Duration
	Account  string
	Priority int
	// WeightsVersion is the version that the target must have; zero means any.
	WeightsVersion int64
	// CacheSalt separates cached parts that must not be shared.
	CacheSalt string
	// FetchFrom and SaveTo are addresses to copy cached parts from and to, or "".
	FetchFrom, SaveTo string
	// LastEventID makes a stream continue after an event, or "".
	LastEventID string
}

// Response is what a target's headers say.
type Response struct {
	ID string
	// NotExecuted says that the target did not run the request and never will.
	NotExecuted bool
	// WrongTarget says that another target or other weights answered.
	WrongTarget bool
	// InstanceID names the target that answered, if it says so.
	InstanceID string
	// WeightsVersion is the version that the answer was made on; zero if not stated.
	WeightsVersion int64
	// KeepAlive is how long the target keeps an idle connection; zero if not stated.
	KeepAlive time.Duration
}

// Codec translates messages between the wire and the terms of the router.
type Codec interface {
	Request(h http.Header) Request
	// Outbound returns the headers for a target: the caller's, without those that
	// concern one connection or that only the host may set, and the envelope's.
	Outbound(caller http.Header, e Envelope) http.Header
	Response(resp *http.Response) Response
}

// WeightsOrder tells a target to load a weights version.
type WeightsOrder struct {
	Model        string
	Version      int64
	Holder       string
	FencingToken uint64
	// ExpectedSequence is the number of orders that the target must have accepted before.
	ExpectedSequence int64
}

// OrderOutcome is what a target said of an order.
type OrderOutcome uint8

// The outcomes of an order. OrderUnknown also stands for no answer: the order may
// be carried out later.
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

// EngineState is a target's report, some hundred milliseconds old.
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

// CacheEvent says that a holder stored or evicted a part of a prompt.
type CacheEvent struct {
	Stored bool
	Salt   string
	PartID string
	Model  string
	// Tokens of the part are stored now; an evicted part may keep some.
	Tokens int
}

// CacheEvents are the events after a number.
type CacheEvents struct {
	// Epoch changes when the holder restarts.
	Epoch      int64
	NextNumber int64
	// HasGap says that events before these are missing.
	HasGap bool
	Events []CacheEvent
}

// Engines is the control interface of model engines.
type Engines interface {
	State(ctx context.Context, t *topology.Target) (EngineState, error)
	Order(ctx context.Context, t *topology.Target, o WeightsOrder) (OrderOutcome, error)
	// CacheEvents waits up to wait for events from the number since on.
	CacheEvents(ctx context.Context, holder CacheHolder, since int64, wait time.Duration) (CacheEvents, error)
}
