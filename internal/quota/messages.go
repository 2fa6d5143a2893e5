package quota

import "github.com/sequoiaroad/sequoiaroad/internal/wire"

// GrantStatus says why a home did or did not grant tokens.
type GrantStatus uint8

// The statuses of a grant.
const (
	// GrantIssued comes with tokens.
	GrantIssued GrantStatus = iota + 1
	// GrantShort means that the pool holds too few tokens.
	GrantShort
	// GrantStarting means that the home still waits for its predecessor's time to
	// end.
	GrantStarting
	// GrantNotHome means that the host is no home of the account in its revision.
	GrantNotHome
	// GrantNotFresh means that the host may not act on its revision.
	GrantNotFresh
	// GrantOtherRevision means that the hosts apply different revisions.
	GrantOtherRevision
)

// GrantAsk asks for tokens of one account.
type GrantAsk struct {
	Account string `msgpack:"a"`
	// Need is the least number of tokens that is of use; zero accepts any.
	Need int64 `msgpack:"n"`
	// Want is the number of tokens that the sender can use, at least Need.
	Want int64 `msgpack:"w"`
}

// GrantRequest asks a home for grants.
type GrantRequest struct {
	Revision uint64     `msgpack:"r"`
	Asks     []GrantAsk `msgpack:"k"`
	// Returned takes effect before the asks.
	Returned []ReturnedTokens `msgpack:"t,omitempty"`
}

// WireType implements wire.Message.
func (*GrantRequest) WireType() wire.Type { return wire.TypeGrantRequest }

// GrantAnswer answers one GrantAsk.
type GrantAnswer struct {
	Status GrantStatus `msgpack:"s"`
	Epoch  uint64      `msgpack:"e,omitempty"`
	Number uint64      `msgpack:"n,omitempty"`
	Tokens int64       `msgpack:"t,omitempty"`
	// RetryAfterMillis says when refill reaches the need; zero means never or
	// unknown.
	RetryAfterMillis int64 `msgpack:"m,omitempty"`
}

// GrantReply answers a GrantRequest in the order of its asks. Revision is the
// fencing number of the grants.
type GrantReply struct {
	Revision uint64        `msgpack:"r"`
	Answers  []GrantAnswer `msgpack:"k"`
}

// WireType implements wire.Message.
func (*GrantReply) WireType() wire.Type { return wire.TypeGrantReply }

// ReturnedTokens ends one grant and names its tokens that will not be spent.
type ReturnedTokens struct {
	Account string `msgpack:"a"`
	Epoch   uint64 `msgpack:"e"`
	Number  uint64 `msgpack:"n"`
	// Total counts all tokens returned from the grant so far, so that a repeated
	// message has no effect.
	Total int64 `msgpack:"t"`
}

// GrantReturn ends grants and gives unspent tokens back to the home that granted them.
type GrantReturn struct {
	Returned []ReturnedTokens `msgpack:"k"`
}

// WireType implements wire.Message.
func (*GrantReturn) WireType() wire.Type { return wire.TypeGrantReturn }

// GrantReturnAck confirms a GrantReturn.
type GrantReturnAck struct{}

// WireType implements wire.Message.
func (*GrantReturnAck) WireType() wire.Type { return wire.TypeAck }
