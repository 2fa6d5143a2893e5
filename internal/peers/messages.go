package peers

import (
	store "github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/internal/view"
	"github.com/sequoiaroad/sequoiaroad/internal/wire"
	"github.com/sequoiaroad/sequoiaroad/policy/exchange"
	"github.com/sequoiaroad/sequoiaroad/policy/quarantine"
)

// Versions are the newest versions that a host has of what the store keeps.
type Versions struct {
	// OperatorVersion and TargetsVersion are the newest row versions of the two tables, in
	// OperatorEra and TargetsEra of the store.
	OperatorVersion uint64 `msgpack:"o,omitempty"`
	OperatorEra     uint64 `msgpack:"j,omitempty"`
	TargetsVersion  uint64 `msgpack:"s,omitempty"`
	TargetsEra      uint64 `msgpack:"k,omitempty"`
	// Documents is the sum of the versions of the operator's documents in force.
	Documents int64 `msgpack:"z,omitempty"`
	// QuarantineDigest identifies the entries in quarantine.
	QuarantineDigest uint64 `msgpack:"q,omitempty"`
}

// StateReport carries what has changed of the sender's state and of that of the hosts that
// report to it.
type StateReport struct {
	Report   exchange.Report `msgpack:"r"`
	Versions Versions        `msgpack:"v"`
}

// WireType implements wire.Message.
func (*StateReport) WireType() wire.Type { return wire.TypeStateReport }

// StateReply carries what has changed of the state of the fleet.
type StateReply struct {
	Reply    exchange.Reply `msgpack:"r"`
	Versions Versions       `msgpack:"v"`
	// Publications tell a host that is no hub when weights were published.
	Publications []view.PublicationAge `msgpack:"p,omitempty"`
}

// WireType implements wire.Message.
func (*StateReply) WireType() wire.Type { return wire.TypeStateReply }

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

// RowsPush carries rows that changed in the store from a host that watches it.
type RowsPush struct {
	Table   string    `msgpack:"t"`
	Changes RowsReply `msgpack:"n"`
	// Relay asks a hub to pass the rows on to the hosts that report to it.
	Relay bool `msgpack:"o,omitempty"`
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

// EngineNotice announces an order to a target: hosts pause requests to the target
// before the order, and resume them with the new version after it.
type EngineNotice struct {
	TargetID string `msgpack:"i"`
	Model    string `msgpack:"m"`
	// Version is the loaded weights version; zero while the order is in progress.
	Version int64 `msgpack:"v,omitempty"`
	// PauseMs is how long the target receives no requests; zero ends the pause.
	PauseMs int64 `msgpack:"p,omitempty"`
	// Relay asks the receiver to pass the notice on to its group.
	Relay bool `msgpack:"o,omitempty"`
}

// WireType implements wire.Message.
func (*EngineNotice) WireType() wire.Type { return wire.TypeEngineNotice }

// withRelay implements notice.
func (n *EngineNotice) withRelay(relay bool) notice {
	out := *n
	out.Relay = relay
	return &out
}

// QuarantineNotice reports crashes of targets, the parts of prompts that are innocent of
// them, and those that are in quarantine.
type QuarantineNotice struct {
	Crashes  []quarantine.Crash `msgpack:"c,omitempty"`
	Innocent []InnocentPart     `msgpack:"n,omitempty"`
	Entries  []QuarantineEntry  `msgpack:"e,omitempty"`
	// Relay asks the receiver to pass the notice on to its group.
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

// withRelay implements notice.
func (n *QuarantineNotice) withRelay(relay bool) notice {
	out := *n
	out.Relay = relay
	return &out
}
