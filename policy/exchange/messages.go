package exchange

import (
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/backpressure"
	"github.com/sequoiaroad/sequoiaroad/policy/balance"
)

// Host is one process of the router.
type Host struct {
	ID            string `json:"id" msgpack:"i"`
	Incarnation   string `json:"incarnation" msgpack:"n"`
	Zone          string `json:"zone" msgpack:"z"`
	Region        string `json:"region" msgpack:"r"`
	InnerAddress  string `json:"inner_address" msgpack:"a"`
	CallerAddress string `json:"caller_address" msgpack:"c"`
	// Capacity is the host's share of a processor core in percent. Hosts with more are
	// preferred as hubs.
	Capacity int `json:"capacity,omitempty" msgpack:"p,omitempty"`
}

// Status is a set of flags that tell the state of a host.
type Status uint8

// The flags of a Status.
const (
	// Ready means that callers may be directed to the host.
	Ready Status = 1 << iota
	// Draining means that the host is stopping.
	Draining
	// StoreUnreachable means that the store does not respond to the host.
	StoreUnreachable
	// Unresponsive means that nothing has been heard from the host for liveTimeout.
	Unresponsive
	// StoreReached means that the store has just responded to the host.
	StoreReached
)

// Has reports whether all the given flags are set.
func (s Status) Has(flags Status) bool { return s&flags == flags }

// HostRecord is the state of a host as of one of its rounds. A record replaces another one
// of the same incarnation only if its round is later, or if it says of the same round that
// the host has become unresponsive.
type HostRecord struct {
	Host   Host   `msgpack:"h"`
	Status Status `msgpack:"s,omitempty"`
	Round  uint64 `msgpack:"r"`
}

// Usage is the total that is attributed to a hub for a client account. Totals never decrease.
type Usage struct {
	//lint:ignore U1000 the encoder reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Account string
	Total   float64
	// Before is the total as it was windowAge ago, in a first report.
	Before float64
}

// HubUsage holds the totals that are attributed to one incarnation of a hub.
type HubUsage struct {
	Hub         string  `msgpack:"h"`
	Incarnation string  `msgpack:"i"`
	Usage       []Usage `msgpack:"u"`
}

// OwnUsage is the total that the sender of a report has admitted for a client account, for
// its hub to attribute to itself.
type OwnUsage struct {
	//lint:ignore U1000 the encoder reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Account string
	Total   float64
	// Settled is what has been attributed to other hubs before.
	Settled float64
}

// Counted is the total that a hub has attributed to itself of what the receiver of a reply
// has admitted for a client account.
type Counted struct {
	//lint:ignore U1000 the encoder reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Account string
	Total   float64
}

// Load is a number of requests in flight at a target.
type Load struct {
	//lint:ignore U1000 the encoder reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	TargetID string
	Requests int
}

// Changes are the parts of a host's knowledge that have changed since an earlier message to
// the same receiver.
type Changes struct {
	// First means that they are all that the sender knows.
	First bool `msgpack:"f,omitempty"`
	// CoversMs is the time over which the totals of a first report have grown from Before.
	CoversMs int64 `msgpack:"m,omitempty"`
	// Through identifies the state up to which they are complete.
	Through uint64       `msgpack:"t"`
	Hosts   []HostRecord `msgpack:"h,omitempty"`
	// Hubs are other hubs that the receiver may not know, in a first report.
	Hubs    []Host                `msgpack:"o,omitempty"`
	Usage   []HubUsage            `msgpack:"u,omitempty"`
	Loads   []Load                `msgpack:"l,omitempty"`
	Notices []balance.CacheNotice `msgpack:"n,omitempty"`
	// Suspects are all targets that hosts have ejected after failures of their requests.
	Suspects []string `msgpack:"s,omitempty"`
	// Limits are the limits that targets have named.
	Limits []backpressure.Report `msgpack:"b,omitempty"`
}

// Report carries the changes of a host and of those that report to it, to its hub or to
// another hub.
type Report struct {
	// From is the sender; nil if the receiver has recorded its incarnation.
	From *Host `msgpack:"f,omitempty"`
	// Hub means that the sender is a hub: the receiver must be one too.
	Hub bool `msgpack:"h,omitempty"`
	// Joining means that the sender has just started and looks for its hub.
	Joining bool `msgpack:"j,omitempty"`
	// Round counts the reports of the sender's incarnation.
	Round  uint64 `msgpack:"r"`
	Status Status `msgpack:"s,omitempty"`
	// After is the state of the receiver that the sender already has; zero for none. InformedMs
	// is how long ago the sender was last told of the fleet; it matters if After is zero.
	After      uint64 `msgpack:"a,omitempty"`
	InformedMs int64  `msgpack:"m,omitempty"`
	// Members identifies the hosts that report to the sender and respond.
	Members uint64 `msgpack:"e,omitempty"`
	// Own is what a host that is no hub has admitted.
	Own     []OwnUsage `msgpack:"o,omitempty"`
	Changes Changes    `msgpack:"c"`
}

// Reply answers a report. To a host that is no hub it carries the changes of the whole
// fleet.
type Reply struct {
	// From is the receiver of the report.
	From Host `msgpack:"f"`
	// Unknown means that the receiver lacks the state on which the report is based. It
	// has ignored the report.
	Unknown bool `msgpack:"u,omitempty"`
	// Joining means that the receiver of the report has just started itself, and so may not
	// know all hosts yet.
	Joining bool `msgpack:"j,omitempty"`
	// ResendHosts asks for all hosts that report to the sender, since the receiver has not
	// recorded the same ones.
	ResendHosts bool `msgpack:"e,omitempty"`
	// Redirect names the hub of the receiver, if it is not one itself.
	Redirect *Host  `msgpack:"d,omitempty"`
	Status   Status `msgpack:"s,omitempty"`
	Round    uint64 `msgpack:"r"`
	// UnspreadMs is the age of the oldest usage that not all other hubs have received.
	UnspreadMs int64 `msgpack:"m,omitempty"`
	// Counted answers the report's Own.
	Counted []Counted `msgpack:"o,omitempty"`
	Changes *Changes  `msgpack:"c,omitempty"`
}

// Local is the state of a host itself.
type Local struct {
	Status Status
	// Usage is the total admitted by this process, by client account.
	Usage map[string]float64
	// Loads is the number of this host's requests in flight, by target.
	Loads    map[string]int
	Suspects []string
	// Limits are the limits that targets have named to this host, AllLimits also those that
	// it knows from others, for hosts that have just started.
	Limits, AllLimits []backpressure.Report
}

// UsageDelta is what other hosts have admitted for a client account.
type UsageDelta struct {
	Account string
	Amount  float64
	// Over is the part of the time in which it was admitted that lies before the start of
	// this process.
	Over time.Duration
}

// LoadDelta is a change of the number of requests that other hosts have in flight.
type LoadDelta struct {
	TargetID string
	Change   int
}

// Learned is what a host has learned about the others from a message, or from its absence.
type Learned struct {
	Usage    []UsageDelta
	Loads    []LoadDelta
	Notices  []balance.CacheNotice
	Suspects []string
	Limits   []backpressure.Report
	// Heard are hosts of which something was heard for the first time or again.
	Heard []Host
}
