// Package wire implements the protocol between hosts: authenticated, length-prefixed
// frames over TCP with msgpack bodies.
package wire

import "context"

// Type identifies the message in a frame.
type Type uint16

// The message types. Numbers are never reused.
const (
	TypeError Type = iota + 1
	TypeProbe
	TypeProbeReply
	TypePush
	TypePushReply
	TypeCommitNotice
	TypeAbort
	TypeWithdrawal
	TypeAck
	TypeFetch
	TypeFetchReply
	TypeGrantRequest
	TypeGrantReply
	TypeGrantReturn
	TypeDigest
	TypeSnapshotRequest
	TypeSnapshotChunk
	TypeHandoverRequest
	TypeHandoverReply
	_ // earlier versions sent heartbeats and their replies with these two numbers
	_
	TypeRowsRequest
	TypeRowsReply
	_ // and cache notices with this one
	TypeEngineNotice
	TypeRowsPush
	TypeQuarantineNotice
	TypeStateReport
	TypeStateReply
)

// String returns the type as a metric label.
func (t Type) String() string {
	if int(t) < len(typeNames) && typeNames[t] != "" {
		return typeNames[t]
	}
	return "unknown"
}

var typeNames = [...]string{
	TypeError: "error", TypeProbe: "probe", TypeProbeReply: "probe_reply", TypePush: "push", TypePushReply: "push_reply",
	TypeCommitNotice: "commit_notice", TypeAbort: "abort", TypeWithdrawal: "withdrawal", TypeAck: "ack",
	TypeFetch: "fetch", TypeFetchReply: "fetch_reply", TypeGrantRequest: "grant_request", TypeGrantReply: "grant_reply",
	TypeGrantReturn: "grant_return", TypeDigest: "digest", TypeSnapshotRequest: "snapshot_request",
	TypeSnapshotChunk: "snapshot_chunk", TypeHandoverRequest: "handover_request", TypeHandoverReply: "handover_reply",
	TypeRowsRequest: "rows_request", TypeRowsReply: "rows_reply", TypeEngineNotice: "engine_notice",
	TypeRowsPush: "rows_push", TypeQuarantineNotice: "quarantine_notice",
	TypeStateReport: "state_report", TypeStateReply: "state_reply",
}

// Message is a body that can be sent in a frame.
type Message interface{ WireType() Type }

// Peer is the authenticated sender of a request. HostID is the id that the sender states
// in the handshake; any holder of the fleet secret can state any id.
type Peer struct {
	HostID      string
	Incarnation string
	Address     string
	// Zone is the availability zone of the host; empty if it states none.
	Zone string
}

// Request is one request as a handler receives it.
type Request struct {
	Type Type
	Body []byte // msgpack
}

// Handler handles requests of one type. A returned error reaches the caller as a
// *RemoteError.
type Handler func(ctx context.Context, from Peer, request Request) (Message, error)

// Caller sends requests to the inner address of a host and decodes the replies. It keeps
// one connection per address open and reconnects as needed. A call fails at once if the
// send ring of its connection is full.
type Caller interface {
	Call(ctx context.Context, address string, request, reply Message) error
}

// Registry registers the handlers of a host's components before the server starts.
type Registry interface {
	Handle(t Type, h Handler)
}
