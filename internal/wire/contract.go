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
	TypeHeartbeat
	TypeHeartbeatReply
	TypeRowsRequest
	TypeRowsReply
	TypeCacheNotices
	TypeEngineNotice
	TypeRowsPush
	TypeQuarantineNotice
)

// Message is a body that can be sent in a frame.
type Message interface{ WireType() Type }

// Peer is the authenticated sender of a request. HostID is the id that the sender states
// in the handshake; any holder of the fleet secret can state any id.
type Peer struct {
	HostID      string
	Incarnation string
	Address     string
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
