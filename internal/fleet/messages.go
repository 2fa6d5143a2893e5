package fleet

import (
	"time"

	"github.com/sequoiaroad/sequoiaroad/internal/wire"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/freshness"
	"github.com/sequoiaroad/sequoiaroad/policy/gossip"
)

// probe asks a host for its state and tells it about the sender.
type probe struct {
	// Sender is zero if the records that were sent include it.
	Sender config.Member `msgpack:"s,omitempty"`
	// Known is the hash of the receiver's entry as the sender knows it. The reply
	// leaves out an entry that has the same hash.
	Known uint64 `msgpack:"k,omitempty"`
	// Gossip is nil in a small fleet, in which every host probes every other.
	Gossip *gossip.Request `msgpack:"g,omitempty"`
}

// probeReply is the state of a host. It also answers a committed message.
type probeReply struct {
	Member      config.Member    `msgpack:"m,omitempty"`
	Report      freshness.Report `msgpack:"r,omitempty"`
	Draining    bool             `msgpack:"d,omitempty"`
	Fresh       bool             `msgpack:"f,omitempty"`
	HasEvidence bool             `msgpack:"h,omitempty"`
	EvidenceAge time.Duration    `msgpack:"a,omitempty"`
	// Withdrawals lists withdrawals that no accepted revision contains yet.
	Withdrawals []withdrawnKey `msgpack:"w,omitempty"`
	// Gossip answers the records of a probe.
	Gossip *gossip.Reply `msgpack:"g,omitempty"`
}

// shorten leaves out what the receiver knows.
func (r *probeReply) shorten(known uint64) {
	if known != 0 && known == gossip.MemberHash(r.Member) {
		r.Member = config.Member{}
		r.Report.From = freshness.Member{}
	}
}

// complete restores what shorten left out. The hash that the probe carried covers the
// incarnation, so that a later process of the host never answers as the one that the
// sender knows.
func (r *probeReply) complete(known config.Member) {
	if r.Member.HostID == "" {
		r.Member = known
		r.Report.From = memberOf(known)
	}
}

// withdrawnKey is a withdrawal that was heard before it was accepted. The hash
// tells the key from a later one with the same id. Revision is the revision that
// was to contain the withdrawal.
type withdrawnKey struct {
	KeyID    string
	Hash     config.KeyHash
	Revision uint64
}

// push asks a member to acknowledge an attempt.
type push struct {
	Attempt  freshness.Attempt
	Document []byte
	// Listed is the entry of the receiver in the replaced revision.
	Listed freshness.Member
	// Withdrawals lists the keys that the attempt removes.
	Withdrawals []withdrawnKey
}

type pushReply struct {
	// Acked says that the receiver acknowledges the attempt for push.Listed.
	Acked   bool
	Applied uint64
}

// committed says that an attempt was accepted.
type committed struct {
	Attempt freshness.Attempt
}

// abort says that an attempt will never be written.
type abort struct {
	AttemptID string
}

// withdrawal withdraws keys at once.
type withdrawal struct {
	Keys []withdrawnKey
}

// fetch asks for the applied document if it is above a revision.
type fetch struct {
	Above uint64
}

type fetchReply struct {
	// Document is empty if the host has nothing newer.
	Document []byte
}

func (*probe) WireType() wire.Type      { return wire.TypeProbe }
func (*probeReply) WireType() wire.Type { return wire.TypeProbeReply }
func (*push) WireType() wire.Type       { return wire.TypePush }
func (*pushReply) WireType() wire.Type  { return wire.TypePushReply }
func (*committed) WireType() wire.Type  { return wire.TypeCommitted }
func (*abort) WireType() wire.Type      { return wire.TypeAbort }
func (*withdrawal) WireType() wire.Type { return wire.TypeWithdrawal }
func (*fetch) WireType() wire.Type      { return wire.TypeFetch }
func (*fetchReply) WireType() wire.Type { return wire.TypeFetchReply }
