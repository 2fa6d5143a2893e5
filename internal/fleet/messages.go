package fleet

import (
	"time"

	"github.com/sequoiaroad/sequoiaroad/internal/wire"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/freshness"
	"github.com/sequoiaroad/sequoiaroad/policy/gossip"
)

// probeRequest requests the state of a host and carries the sender's entry.
type probeRequest struct {
	// Sender is zero if the sender's entry was already sent in gossip records.
	Sender config.Member `msgpack:"s,omitempty"`
	// Known is the hash of the sender's copy of the receiver's entry. The reply omits an
	// entry with the same hash.
	Known uint64 `msgpack:"k,omitempty"`
	// Gossip is nil in a small fleet, in which every host probes every other.
	Gossip *gossip.Request `msgpack:"g,omitempty"`
}

// probeReply is the state of a host, the reply to a probeRequest or a commitNotice.
type probeReply struct {
	Member      config.Member    `msgpack:"m,omitempty"`
	Report      freshness.Report `msgpack:"r,omitempty"`
	Draining    bool             `msgpack:"d,omitempty"`
	Fresh       bool             `msgpack:"f,omitempty"`
	HasEvidence bool             `msgpack:"h,omitempty"`
	EvidenceAge time.Duration    `msgpack:"a,omitempty"`
	// Withdrawals lists withdrawals that no accepted revision contains yet.
	Withdrawals []withdrawnKey `msgpack:"w,omitempty"`
	// Gossip is the reply to the gossip request of a probe.
	Gossip *gossip.Reply `msgpack:"g,omitempty"`
}

// omitKnown clears the member entry if its hash equals known, the hash in the probe.
func (r *probeReply) omitKnown(known uint64) {
	if known != 0 && known == gossip.MemberHash(r.Member) {
		r.Member = config.Member{}
		r.Report.From = freshness.Member{}
	}
}

// restoreOmitted restores the entry that omitKnown cleared. The hash in the probe covers
// the incarnation, so that the reply of a later process of the host is never attributed
// to the known one.
func (r *probeReply) restoreOmitted(known config.Member) {
	if r.Member.HostID == "" {
		r.Member = known
		r.Report.From = toFreshnessMember(known)
	}
}

// withdrawnKey is a withdrawal of a client key that may not be accepted yet. Hash
// distinguishes the key from a later one with the same ID. Revision is the revision that
// was proposed to contain the withdrawal.
type withdrawnKey struct {
	KeyID    string
	Hash     config.KeyHash
	Revision uint64
}

// pushRequest requests the acknowledgement of an attempt by a member.
type pushRequest struct {
	Attempt  freshness.Attempt
	Document []byte
	// Listed is the receiver's entry in the revision that the attempt replaces.
	Listed freshness.Member
	// Withdrawals lists the keys that the attempt removes.
	Withdrawals []withdrawnKey
}

type pushReply struct {
	// Acked reports whether the receiver acknowledges the attempt for pushRequest.Listed.
	Acked   bool
	Applied uint64
}

// commitNotice reports that an attempt was accepted.
type commitNotice struct {
	Attempt freshness.Attempt
}

// abortNotice reports that an attempt will never be written to the store.
type abortNotice struct {
	AttemptID string
}

// withdrawalNotice makes the receiver reject keys before their withdrawal is accepted.
type withdrawalNotice struct {
	Keys []withdrawnKey
}

// fetchRequest requests the applied document if its revision is higher than Above.
type fetchRequest struct {
	Above uint64
}

type fetchReply struct {
	// Document is empty if the host has no newer document.
	Document []byte
}

func (*probeRequest) WireType() wire.Type     { return wire.TypeProbe }
func (*probeReply) WireType() wire.Type       { return wire.TypeProbeReply }
func (*pushRequest) WireType() wire.Type      { return wire.TypePush }
func (*pushReply) WireType() wire.Type        { return wire.TypePushReply }
func (*commitNotice) WireType() wire.Type     { return wire.TypeCommitNotice }
func (*abortNotice) WireType() wire.Type      { return wire.TypeAbort }
func (*withdrawalNotice) WireType() wire.Type { return wire.TypeWithdrawal }
func (*fetchRequest) WireType() wire.Type     { return wire.TypeFetch }
func (*fetchReply) WireType() wire.Type       { return wire.TypeFetchReply }
