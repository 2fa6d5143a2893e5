package quota

import "github.com/sequoiaroad/sequoiaroad/internal/wire"

// GrantStatus is the reason why a home granted tokens or not.
type GrantStatus uint8

// The statuses of a grant.
const (
	// GrantIssued means that the home granted tokens.
	GrantIssued GrantStatus = iota + 1
	// GrantInsufficientTokens means that the pool holds too few tokens.
	GrantInsufficientTokens
	// GrantTakeoverPending means that the home still waits for the handover from its
	// predecessor, or for the end of TakeoverWait.
	GrantTakeoverPending
	// GrantNotHome means that the host is not a home of the account in its revision.
	GrantNotHome
	// GrantNotFresh means that the host is not fresh and therefore may not grant tokens.
	GrantNotFresh
	// GrantRevisionMismatch means that the hosts apply different revisions.
	GrantRevisionMismatch
)

// GrantRequestItem requests tokens of one account.
type GrantRequestItem struct {
	Account string `msgpack:"a"`
	// Need is the smallest number of tokens to grant; zero accepts any number.
	Need int64 `msgpack:"n"`
	// Want is the number of tokens that the sender can use, at least Need.
	Want int64 `msgpack:"w"`
}

// GrantRequest requests grants from a home.
type GrantRequest struct {
	Revision uint64             `msgpack:"r"`
	Items    []GrantRequestItem `msgpack:"k"`
	// Returned takes effect before Items.
	Returned []ReturnedTokens `msgpack:"t,omitempty"`
}

// WireType implements wire.Message.
func (*GrantRequest) WireType() wire.Type { return wire.TypeGrantRequest }

// GrantResult is the result of one GrantRequestItem.
type GrantResult struct {
	Status GrantStatus `msgpack:"s"`
	Epoch  uint64      `msgpack:"e,omitempty"`
	Number uint64      `msgpack:"n,omitempty"`
	Tokens int64       `msgpack:"t,omitempty"`
	// RetryAfterMillis is the time until refill covers the need; zero means never or
	// unknown.
	RetryAfterMillis int64 `msgpack:"m,omitempty"`
}

// GrantReply is the reply to a GrantRequest, with results in the order of its items.
// Revision is the fencing token of the grants.
type GrantReply struct {
	Revision uint64        `msgpack:"r"`
	Results  []GrantResult `msgpack:"k"`
}

// WireType implements wire.Message.
func (*GrantReply) WireType() wire.Type { return wire.TypeGrantReply }

// ReturnedTokens closes one grant and reports how many of its tokens will not be spent.
type ReturnedTokens struct {
	Account string `msgpack:"a"`
	Epoch   uint64 `msgpack:"e"`
	Number  uint64 `msgpack:"n"`
	// Total counts all tokens returned from the grant so far, so that a repeated
	// message has no effect.
	Total int64 `msgpack:"t"`
}

// GrantReturn closes grants and returns unspent tokens to the home that granted them.
type GrantReturn struct {
	Returned []ReturnedTokens `msgpack:"k"`
}

// WireType implements wire.Message.
func (*GrantReturn) WireType() wire.Type { return wire.TypeGrantReturn }

// GrantReturnAck confirms a GrantReturn.
type GrantReturnAck struct{}

// WireType implements wire.Message.
func (*GrantReturnAck) WireType() wire.Type { return wire.TypeAck }

// HandoverRequest asks a home whose share becomes smaller under a revision to confirm
// that it has applied the revision.
type HandoverRequest struct {
	Revision uint64 `msgpack:"r"`
	// HostID and Incarnation identify the home. A later incarnation at the same address
	// has no record of the tokens that the home had granted.
	HostID      string   `msgpack:"h"`
	Incarnation string   `msgpack:"i"`
	Accounts    []string `msgpack:"a"`
}

// WireType implements wire.Message.
func (*HandoverRequest) WireType() wire.Type { return wire.TypeHandoverRequest }

// HandoverResult is the result of a HandoverRequest for one account.
type HandoverResult struct {
	// Confirmed is set if the home applied the revision and recorded what it released.
	Confirmed bool `msgpack:"c"`
	// Settled is set if no host holds more than its share of the member list before the
	// revision.
	Settled bool `msgpack:"s"`
	// GrantExpiryMicros is how long released grants may still be spent.
	GrantExpiryMicros int64 `msgpack:"m,omitempty"`
	// Level and Grants are the tokens handed over to the sender of the request.
	Level  int64           `msgpack:"l,omitempty"`
	Grants []ReleasedGrant `msgpack:"g,omitempty"`
}

// ReleasedGrant is a grant that the receiver of a handover counts as outstanding.
type ReleasedGrant struct {
	Epoch        uint64 `msgpack:"e"`
	Number       uint64 `msgpack:"n"`
	Tokens       int64  `msgpack:"t"`
	ExpiryMicros int64  `msgpack:"m,omitempty"`
	// Closed is set if the holder spends no more of the grant. Returned counts the tokens
	// that the holder has returned so far.
	Closed   bool  `msgpack:"s,omitempty"`
	Returned int64 `msgpack:"r,omitempty"`
}

// HandoverReply is the reply to a HandoverRequest, with results in the order of its
// accounts. It has no results if the request was for another host or incarnation.
type HandoverReply struct {
	Results []HandoverResult `msgpack:"a"`
}

// WireType implements wire.Message.
func (*HandoverReply) WireType() wire.Type { return wire.TypeHandoverReply }
