// Package topology describes a deployment: the operator's configuration and the
// targets. Values are immutable once published.
package topology

import (
	"cmp"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says whether requests on a route may be retried, and whether they stream.
type Kind uint8

// The kinds of route.
const (
	NonIdempotent Kind = iota
	Idempotent
	Stream
	ResumableStream
)

var kindNames = [...]string{"non-idempotent", "idempotent", "stream", "resumable-stream"}

func (k Kind) String() string { return kindNames[k] }

// Retryable reports whether a request may run more than once.
func (k Kind) Retryable() bool { return k == Idempotent || k == ResumableStream }

// Streams reports whether the response is a stream of events.
func (k Kind) Streams() bool { return k == Stream || k == ResumableStream }

// Destination is one service of a route's traffic split. Weights are relative.
type Destination struct {
	Service string
	Weight  int
}

// Route maps requests of a virtual host and a path prefix to services.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	// Timeout bounds the time until the final response; zero means no bound.
	Timeout time.Duration
	// LatencyObjective is zero if the route has none.
	LatencyObjective time.Duration
	// Priority 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the targets that may run one request; at least 1.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// HasPromptParts reports that requests list the parts of a prompt.
	HasPromptParts bool
	Split          []Destination
}

// Pick returns the service for a random number in [0, 1).
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	remaining := draw * float64(total)
	for _, s := range r.Split {
		if remaining -= float64(s.Weight); remaining < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots       int
	CacheTokens int
	TokenBytes  int
	LinkMbps    float64
	Models      []string
}

// Service is a group of equivalent targets, or a KV store if StoreAddress is set.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Engine is nil for plain services.
	Engine       *Engine
	StoreAddress string
	StoreZone    string
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority overrides the route's priority unless it is nil.
	Priority *int
	// Isolated accounts share no cached part of a prompt with other accounts.
	Isolated bool
	// CountsTokens reports that Rate and Burst count tokens instead of requests.
	CountsTokens bool
	// DefaultTokens is the cost of a request without a token count.
	DefaultTokens float64
	// Rate per second and Burst apply across all hosts; a Rate of zero means no limit.
	Rate, Burst float64
}

// Limits bound the size and duration of a caller's requests.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Config is one version of the operator's configuration.
type Config struct {
	Version  int64
	Services map[string]*Service
	Limits   Limits
	Routes   []*Route
	// KeysRequired means that requests need the API key of a client account, except on public
	// routes. It may be true without an account: then nobody has a key.
	KeysRequired bool
	Accounts     []*Account

	byHost map[string][]*Route
	byKey  map[string]*Account
	// sharedCacheScope is the cache scope of all accounts that are not isolated.
	sharedCacheScope string
}

// CacheScope names the requests that may share cached parts of prompts with those of an
// account, which is nil on public routes.
//
// Invariant: no request under the scope that accounts share came from an account that is
// isolated now. What an account put into caches before it was isolated must not be found by
// others afterwards, and hosts do not know who made a cached part, so that the scope differs
// with the set of isolated accounts. It depends on nothing else: hosts agree on it without
// messages, also after a restart, and an account that is isolated again finds only its own.
func (c *Config) CacheScope(a *Account) string {
	if a != nil && a.Isolated {
		return "account:" + a.Name
	}
	return c.sharedCacheScope
}

// findSharedCacheScope returns the scope of the accounts that are not isolated; it is empty
// if there are only such.
func (c *Config) findSharedCacheScope() string {
	var isolated []string
	for _, a := range c.Accounts {
		if a.Isolated {
			isolated = append(isolated, a.Name)
		}
	}
	if len(isolated) == 0 {
		return ""
	}
	slices.Sort(isolated)
	return "without:" + strconv.FormatUint(xxhash.Sum64String(strings.Join(isolated, "\x00")), 16)
}

// Index builds the lookup tables. It must be called once, before the value is shared.
func (c *Config) Index() {
	c.byHost = map[string][]*Route{}
	for _, r := range c.Routes {
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, routes := range c.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	c.sharedCacheScope = c.findSharedCacheScope()
	c.byKey = map[string]*Account{}
	for _, a := range c.Accounts {
		for _, key := range a.Keys {
			c.byKey[key] = a
		}
	}
}

// Route returns the route with the longest matching path prefix, or nil.
func (c *Config) Route(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Account returns the client account that owns the API key, or nil. No account owns the empty
// key, which requests without one have.
func (c *Config) Account(key string) *Account {
	if key == "" {
		return nil
	}
	return c.byKey[key]
}

// KVStore returns the KV store of the engines, or nil. If there are several, it returns
// the first by name.
func (c *Config) KVStore() *Service {
	var first *Service
	for _, s := range c.Services {
		if s.StoreAddress != "" && (first == nil || s.Name < first.Name) {
			first = s
		}
	}
	return first
}

// Target is one incarnation of a back end as described by its own entry in the store.
type Target struct {
	ID, Service, Address, Zone string
	Slots                      int
	// Leaving targets accept no new requests.
	Leaving bool
	// Weights maps each loaded model to its weights version.
	Weights map[string]int64
	// Started is the start time in Unix milliseconds; zero if unknown. A target that
	// restarts under the same ID has another start time and has lost its earlier state.
	Started int64
}

// Incarnation identifies one start of a target.
type Incarnation struct {
	ID      string `msgpack:"i"`
	Started int64  `msgpack:"s"`
}

// Incarnation returns the target's current incarnation.
func (t *Target) Incarnation() Incarnation { return Incarnation{t.ID, t.Started} }

// SameIncarnation reports whether two descriptions are of the same incarnation.
func (t *Target) SameIncarnation(o *Target) bool {
	return t.ID == o.ID && t.Started == o.Started && t.Address == o.Address
}

// PublishedVersion is a published weights version, and since when its predecessors count
// as outdated: the time at which this host first received it, plus later outages of the
// store.
type PublishedVersion struct {
	Version int64
	Since   time.Time
}

// maxPublished bounds the versions that are kept for a model. Older weights have long
// been outdated.
const maxPublished = 32

// DesiredWeights is the weights version that the operator published last for a model.
type DesiredWeights struct {
	Model   string
	Version int64
	// Published lists the versions in ascending order.
	Published []PublishedVersion
	// StoreLostAt is since when the store has answered no host; zero without an outage. No
	// host can roll out weights without the store, so that this time does not count as
	// staleness.
	StoreLostAt time.Time
}

// WithVersion returns the desired weights after a newer version has been published.
func (d DesiredWeights) WithVersion(version int64, now time.Time) DesiredWeights {
	d.Version = version
	return d.WithPublication(PublishedVersion{version, now})
}

// Shifted returns the desired weights with all versions published earlier by the given
// time, which the clock of this host has lost.
func (d DesiredWeights) Shifted(lost time.Duration) DesiredWeights {
	published := make([]PublishedVersion, 0, len(d.Published))
	for _, v := range d.Published {
		v.Since = v.Since.Add(-lost)
		published = append(published, v)
	}
	d.Published = published
	return d
}

// PublishedAfter reports whether a version is not known to have been published by a time.
func (d DesiredWeights) PublishedAfter(version int64, at time.Time) bool {
	for _, v := range d.Published {
		if v.Version == version {
			return v.Since.After(at)
		}
	}
	return true
}

// WithPublication returns the desired weights after it became known when a version was
// published. It adds versions that this host has not received, since older weights are
// outdated from their publication on.
func (d DesiredWeights) WithPublication(p PublishedVersion) DesiredWeights {
	published := make([]PublishedVersion, 0, len(d.Published)+1)
	for _, v := range d.Published {
		if v.Version == p.Version && v.Since.Before(p.Since) {
			p = v
		}
		if v.Version != p.Version {
			published = append(published, v)
		}
	}
	published = append(published, p)
	slices.SortFunc(published, func(a, b PublishedVersion) int { return cmp.Compare(a.Version, b.Version) })
	if len(published) > maxPublished {
		published = published[1:]
	}
	d.Published = published
	return d
}

// AfterOutage returns the desired weights after the store has not answered since lostAt:
// the staleness of all versions excludes that time.
func (d DesiredWeights) AfterOutage(lostAt, now time.Time) DesiredWeights {
	published := make([]PublishedVersion, 0, len(d.Published))
	for _, v := range d.Published {
		start := lostAt
		if v.Since.After(start) {
			start = v.Since
		}
		v.Since = v.Since.Add(max(0, now.Sub(start)))
		published = append(published, v)
	}
	d.Published, d.StoreLostAt = published, time.Time{}
	return d
}

// OutdatedFor returns the time since a version newer than the given one was published,
// without the time in which the store did not answer; zero if there is none.
func (d DesiredWeights) OutdatedFor(version int64, now time.Time) time.Duration {
	if !d.StoreLostAt.IsZero() && d.StoreLostAt.Before(now) {
		now = d.StoreLostAt
	}
	for _, v := range d.Published {
		if v.Version > version {
			return max(time.Nanosecond, now.Sub(v.Since))
		}
	}
	return 0
}
