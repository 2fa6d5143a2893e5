package peers

import (
	store "github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/internal/view"
	"github.com/sequoiaroad/sequoiaroad/internal/wire"
	"github.com/sequoiaroad/sequoiaroad/policy/backpressure"
	"github.com/sequoiaroad/sequoiaroad/policy/balance"
	"github.com/sequoiaroad/sequoiaroad/policy/quarantine"
)

// TargetLoad is the number of requests that the sender has in flight at a target.
type TargetLoad struct {
	ID       string `msgpack:"i"`
	Requests int    `msgpack:"r"`
}

// AccountUsage is the total that the sender has admitted for a client account.
type AccountUsage struct {
	Account string  `msgpack:"a"`
	Total   float64 `msgpack:"t"`
}

// Heartbeat reports that the sender is alive, together with its state.
type Heartbeat struct {
	From  view.Host `msgpack:"f"`
	Ready bool      `msgpack:"y,omitempty"`
	// Draining means that the sender is stopping; callers must not be directed to it.
	Draining bool `msgpack:"l,omitempty"`
	// OperatorVersion and TargetsVersion are the newest row versions of the two tables, in
	// OperatorEra and TargetsEra of the store.
	OperatorVersion uint64 `msgpack:"o"`
	OperatorEra     uint64 `msgpack:"j,omitempty"`
	TargetsVersion  uint64 `msgpack:"s"`
	TargetsEra      uint64 `msgpack:"k,omitempty"`
	// DocumentVersions is the sum of the versions of the operator's documents in force.
	DocumentVersions int64          `msgpack:"z,omitempty"`
	Loads            []TargetLoad   `msgpack:"d,omitempty"`
	Usage            []AccountUsage `msgpack:"u,omitempty"`
	// EjectedTargets are targets that the sender has ejected after failures.
	EjectedTargets []string `msgpack:"x,omitempty"`
	// Limits are the limits that targets have named to the sender.
	Limits []backpressure.Report `msgpack:"b,omitempty"`
	// QuarantineDigest identifies the entries in quarantine that the sender has.
	QuarantineDigest uint64 `msgpack:"q,omitempty"`
	// StoreUnreachable means that the store does not respond to the sender.
	StoreUnreachable bool `msgpack:"c,omitempty"`
	// Sequence counts the heartbeats of an incarnation, so that a relayed heartbeat
	// does not replace a newer one.
	Sequence uint64 `msgpack:"n"`
	// Relay asks the receiver to relay the heartbeat to its group.
	Relay bool `msgpack:"p,omitempty"`
	// Relayed holds heartbeats of other groups that the sender was asked to relay.
	Relayed []Heartbeat `msgpack:"h,omitempty"`
}

// WireType implements wire.Message.
func (*Heartbeat) WireType() wire.Type { return wire.TypeHeartbeat }

// HeartbeatReply lists the hosts and limits that are known to the receiver of a heartbeat,
// if the sender may lack some of them.
type HeartbeatReply struct {
	Hosts []view.Host `msgpack:"h,omitempty"`
	// Limits are all limits of targets that the receiver knows.
	Limits []backpressure.Report `msgpack:"b,omitempty"`
}

// WireType implements wire.Message.
func (*HeartbeatReply) WireType() wire.Type { return wire.TypeHeartbeatReply }

// RowsRequest requests the rows of a table above a version of an era.
type RowsRequest struct {
	Table string `msgpack:"t"`
	After uint64 `msgpack:"a"`
	Era   uint64 `msgpack:"e,omitempty"`
}

// WireType implements wire.Message.
func (*RowsRequest) WireType() wire.Type { return wire.TypeRowsRequest }

// Row is a row of the store.
type Row struct {
	Key     string `msgpack:"k"`
	Value   []byte `msgpack:"v,omitempty"`
	Version uint64 `msgpack:"n"`
	Deleted bool   `msgpack:"d,omitempty"`
}

// RowsReply holds the rows of a table above a version that its sender has.
type RowsReply struct {
	Rows []Row `msgpack:"r,omitempty"`
	// Era is the era of the rows. If it is not the requested one, the rows are all above
	// version After of it.
	Era   uint64 `msgpack:"e,omitempty"`
	After uint64 `msgpack:"a,omitempty"`
	// Complete means that the table has no other rows above that version.
	Complete bool `msgpack:"c,omitempty"`
	// StoreRecoveredMs is how long ago the store responded again to the sender of the
	// reply after an outage; zero if unknown. Entries that expired during the outage
	// may be written again.
	StoreRecoveredMs int64 `msgpack:"g,omitempty"`
}

// WireType implements wire.Message.
func (*RowsReply) WireType() wire.Type { return wire.TypeRowsReply }

// RowsPush carries rows that changed in the store from a host that watches the store to
// its group.
type RowsPush struct {
	Table string `msgpack:"t"`
	// After is that of the changes, for hosts of versions that know no eras.
	After   uint64    `msgpack:"a"`
	Changes RowsReply `msgpack:"n"`
}

// WireType implements wire.Message.
func (*RowsPush) WireType() wire.Type { return wire.TypeRowsPush }

func packRow(r store.Row) Row { return Row{r.Key, r.Value, r.Version, r.Deleted} }

// unpackRows returns the rows of a reply as rows of a table.
func unpackRows(table string, reply *RowsReply) view.PeerRows {
	out := view.PeerRows{After: store.Position{Era: reply.Era, Version: reply.After}, Complete: reply.Complete}
	for _, r := range reply.Rows {
		out.Rows = append(out.Rows, store.Row{Table: table, Key: r.Key, Value: r.Value, Version: r.Version, Deleted: r.Deleted, Era: reply.Era})
	}
	return out
}

// CacheNotices report which cache holders stored or evicted parts of prompts.
type CacheNotices struct {
	Notices []balance.CacheNotice `msgpack:"a"`
	// Relay asks the receiver to relay the notices to its group.
	Relay bool `msgpack:"p,omitempty"`
}

// WireType implements wire.Message.
func (*CacheNotices) WireType() wire.Type { return wire.TypeCacheNotices }

// EngineNotice announces an order to a target: hosts pause requests to the target
// before the order, and resume them with the new version after it.
type EngineNotice struct {
	TargetID string `msgpack:"i"`
	Model    string `msgpack:"m"`
	// Version is the loaded weights version; zero while the order is in progress.
	Version int64 `msgpack:"v,omitempty"`
	// PauseMs is how long the target receives no requests; zero ends the pause.
	PauseMs int64 `msgpack:"p,omitempty"`
	// Relay asks the receiver to relay the notice to its group.
	Relay bool `msgpack:"o,omitempty"`
}

// WireType implements wire.Message.
func (*EngineNotice) WireType() wire.Type { return wire.TypeEngineNotice }

// QuarantineNotice reports crashes of targets, the parts of prompts that are innocent of
// them, and those that are in quarantine.
type QuarantineNotice struct {
	Crashes  []quarantine.Crash `msgpack:"c,omitempty"`
	Innocent []InnocentPart     `msgpack:"n,omitempty"`
	Entries  []QuarantineEntry  `msgpack:"e,omitempty"`
	// Relay asks the receiver to relay the notice to its group.
	Relay bool `msgpack:"o,omitempty"`
}

// InnocentPart is a part of a request that a target has completed.
type InnocentPart struct {
	Part string `msgpack:"p"`
	// AgeMs is how long ago the request was completed.
	AgeMs int64 `msgpack:"a"`
}

// QuarantineEntry is a set of parts in quarantine.
type QuarantineEntry struct {
	ID          string   `msgpack:"i"`
	Parts       []string `msgpack:"p"`
	RemainingMs int64    `msgpack:"r"`
	DurationMs  int64    `msgpack:"d"`
}

// WireType implements wire.Message.
func (*QuarantineNotice) WireType() wire.Type { return wire.TypeQuarantineNotice }
