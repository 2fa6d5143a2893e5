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
	// end or for its handover.
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

// HandoverRequest asks a home whose share becomes smaller under a revision to confirm
// that it has applied it.
type HandoverRequest struct {
	Revision uint64 `msgpack:"r"`
	// HostID and Incarnation name the home. A later incarnation at its address knows
	// nothing of what the home had granted.
	HostID      string   `msgpack:"h"`
	Incarnation string   `msgpack:"i"`
	Accounts    []string `msgpack:"a"`
}

// WireType implements wire.Message.
func (*HandoverRequest) WireType() wire.Type { return wire.TypeHandoverRequest }

// HandoverAnswer answers for one account.
type HandoverAnswer struct {
	// Confirmed says that the home applied the revision and knows what it released.
	Confirmed bool `msgpack:"c"`
	// Settled says that no host holds more than its share of the member list before
	// the revision.
	Settled bool `msgpack:"s"`
	// LapseMicros says how long grants that were released may still be spent.
	LapseMicros int64 `msgpack:"m,omitempty"`
	// Level and Grants are the tokens that go to the sender of the request.
	Level  int64           `msgpack:"l,omitempty"`
	Grants []ReleasedGrant `msgpack:"g,omitempty"`
}

// ReleasedGrant is a grant that the receiver of a handover counts as outstanding.
type ReleasedGrant struct {
	Epoch       uint64 `msgpack:"e"`
	Number      uint64 `msgpack:"n"`
	Tokens      int64  `msgpack:"t"`
	LapseMicros int64  `msgpack:"m,omitempty"`
	// Reported says that the holder spends no more of the grant, and Returned counts
	// the tokens that it returned so far.
	Reported bool  `msgpack:"s,omitempty"`
	Returned int64 `msgpack:"r,omitempty"`
}

// HandoverReply answers a HandoverRequest in the order of its accounts; it has no
// answers if the request was for another host or incarnation.
type HandoverReply struct {
	Answers []HandoverAnswer `msgpack:"a"`
}

// WireType implements wire.Message.
func (*HandoverReply) WireType() wire.Type { return wire.TypeHandoverReply }
