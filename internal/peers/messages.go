package peers

import (
	store "github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/internal/view"
	"github.com/sequoiaroad/sequoiaroad/internal/wire"
	"github.com/sequoiaroad/sequoiaroad/policy/balance"
)

// TargetLoad is what the sender has under way at a target.
type TargetLoad struct {
	ID      string `msgpack:"i"`
	Running int    `msgpack:"r"`
}

// AccountUse is the total that the sender has admitted for a client account.
type AccountUse struct {
	Account string  `msgpack:"a"`
	Total   float64 `msgpack:"t"`
}

// Heartbeat tells a peer that the sender lives and what it knows.
type Heartbeat struct {
	From  view.Host `msgpack:"f"`
	Ready bool      `msgpack:"y,omitempty"`
	// Leaving says that the sender stops; callers must not be sent there.
	Leaving bool `msgpack:"l,omitempty"`
	// Operator and Targets are the newest row versions of the two tables.
	Operator uint64       `msgpack:"o"`
	Targets  uint64       `msgpack:"s"`
	Loads    []TargetLoad `msgpack:"d,omitempty"`
	Use      []AccountUse `msgpack:"u,omitempty"`
	// Suspects are targets that the sender avoids after failures.
	Suspects []string `msgpack:"x,omitempty"`
	// Cut says that the store does not answer the sender.
	Cut bool `msgpack:"c,omitempty"`
	// Sequence counts the heartbeats of an incarnation, so that one that was passed on
	// does not replace a newer one.
	Sequence uint64 `msgpack:"n"`
	// PassOn asks the receiver to pass the heartbeat on to its group.
	PassOn bool `msgpack:"p,omitempty"`
	// Passed are heartbeats of other groups that the sender was asked to pass on.
	Passed []Heartbeat `msgpack:"h,omitempty"`
}

// WireType implements wire.Message.
func (*Heartbeat) WireType() wire.Type { return wire.TypeHeartbeat }

// HeartbeatReply names the hosts that the receiver knows, if the sender may know
// fewer.
type HeartbeatReply struct {
	Hosts []view.Host `msgpack:"h,omitempty"`
}

// WireType implements wire.Message.
func (*HeartbeatReply) WireType() wire.Type { return wire.TypeHeartbeatReply }

// RowsRequest asks for the rows of a table above a version.
type RowsRequest struct {
	Table string `msgpack:"t"`
	After uint64 `msgpack:"a"`
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

// RowsReply holds the rows that the receiver has.
type RowsReply struct {
	Rows []Row `msgpack:"r,omitempty"`
	// RegainedMs is how long ago the store answered the sender again after an outage;
	// zero if that is not known. Entries that lapsed meanwhile may come back.
	RegainedMs int64 `msgpack:"g,omitempty"`
}

// WireType implements wire.Message.
func (*RowsReply) WireType() wire.Type { return wire.TypeRowsReply }

// RowsPush tells the group of a follower what the store changed.
type RowsPush struct {
	Table string `msgpack:"t"`
	// After is the newest version of the sender before these rows.
	After uint64    `msgpack:"a"`
	News  RowsReply `msgpack:"n"`
}

// WireType implements wire.Message.
func (*RowsPush) WireType() wire.Type { return wire.TypeRowsPush }

func packRows(rows []store.Row) []Row {
	out := make([]Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, Row{r.Key, r.Value, r.Version, r.Deleted})
	}
	return out
}

func unpackRows(table string, rows []Row) []store.Row {
	out := make([]store.Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, store.Row{Table: table, Key: r.Key, Value: r.Value, Version: r.Version, Deleted: r.Deleted})
	}
	return out
}

// CacheNotices tell peers which targets read shared prefixes.
type CacheNotices struct {
	All []balance.CacheNotice `msgpack:"a"`
	// PassOn asks the receiver to pass them on to its group.
	PassOn bool `msgpack:"p,omitempty"`
}

// WireType implements wire.Message.
func (*CacheNotices) WireType() wire.Type { return wire.TypeCacheNotices }

// EngineNotice tells peers about an order to a target: requests pause before it, and
// go on with the version after it.
type EngineNotice struct {
	TargetID string `msgpack:"i"`
	Model    string `msgpack:"m"`
	// Version is the weights version in place; zero while the order is in progress.
	Version int64 `msgpack:"v,omitempty"`
	// PauseMs is how long requests stay away; zero ends the pause.
	PauseMs int64 `msgpack:"p,omitempty"`
	// PassOn asks the receiver to pass the notice on to its group.
	PassOn bool `msgpack:"o,omitempty"`
}

// WireType implements wire.Message.
func (*EngineNotice) WireType() wire.Type { return wire.TypeEngineNotice }
