// Package wire is the inner protocol between hosts: authenticated,
// length-prefixed frames over TCP with msgpack bodies.
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
	TypeCommitted
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
	TypeSnapshotPart
	TypeHandoverRequest
	TypeHandoverReply
	TypeHeartbeat
	TypeHeartbeatReply
	TypeRowsRequest
	TypeRowsReply
	TypeCacheNotices
	TypeEngineNotice
	TypeRowsPush
)

// Message is a body that can be sent in a frame.
type Message interface{ WireType() Type }

// Peer is the authenticated sender of a request. HostID is the id it claims in
// the handshake, which all holders of the fleet's secret may claim.
type Peer struct {
	HostID      string
	Incarnation string
	Address     string
}

// Request gives a handler the body of one request.
type Request struct {
	Type Type
	Body []byte // msgpack
}

// Handler answers one type of request. A returned error reaches the caller as a
// *RemoteError.
type Handler func(ctx context.Context, from Peer, request Request) (Message, error)

// Caller sends requests to the inner address of a host and decodes the reply. A
// connection per address is kept open and opened again as needed. A full send
// ring fails the call at once.
type Caller interface {
	Call(ctx context.Context, address string, request, reply Message) error
}

// Registry takes the handlers of a host's parts before the server starts.
type Registry interface {
	Handle(t Type, h Handler)
}
