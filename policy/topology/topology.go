// Package topology holds what a host knows of its deployment: the operator's
// configuration and the targets. Values are immutable once published.
package topology

import (
	"sort"
	"strings"
	"time"
)

// Kind says what may be repeated on a route.
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

// Streams reports whether the answer is a stream of events.
func (k Kind) Streams() bool { return k == Stream || k == ResumableStream }

// ConcurrentShare is one destination of a route. Weights are relative.
type Destination struct {
	Service string
	Weight  int
}

// Route leads requests of a virtual host and a path prefix to services.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	// Timeout is the longest time until the final answer; zero means no bound.
	Timeout time.Duration
	// LatencyObjective is the latency objective; zero means none.
	LatencyObjective time.Duration
	// Priority 0 is the most urgent.
	Priority int
	// MaxAttempts is the number of targets that may run one request; at least 1.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// HasPromptParts says that requests name the parts of a prompt.
	HasPromptParts bool
	Split          []Destination
}

// Pick returns the service for a draw in [0, 1).
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	left := draw * float64(total)
	for _, s := range r.Split {
		if left -= float64(s.Weight); left < 0 {
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

// Service is a group of equal targets, or a KV store if StoreAddress is set.
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
	// Priority goes before the route's; nil means that the route's holds.
	Priority *int
	// Isolated accounts share no cached part of a prompt with others.
	Isolated bool
	// CountsTokens says that Rate and Burst count tokens and not requests.
	CountsTokens bool
	// DefaultTokens is what a request without a token count costs.
	DefaultTokens float64
	// Rate per second and Burst hold over all hosts; a Rate of zero means no limit.
	Rate, Burst float64
}

// Limits bound what a caller may send.
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
	Accounts []*Account

	byHost map[string][]*Route
	byKey  map[string]*Account
}

// Index builds the look-up tables. It is called once, before the value is shared.
func (c *Config) Index() {
	c.byHost = map[string][]*Route{}
	for _, r := range c.Routes {
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, routes := range c.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	c.byKey = map[string]*Account{}
	for _, a := range c.Accounts {
		for _, key := range a.Keys {
			c.byKey[key] = a
		}
	}
}

// Route returns the route with the longest prefix of the path, or nil.
func (c *Config) Route(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Account returns the client account that holds the key, or nil.
func (c *Config) Account(key string) *Account { return c.byKey[key] }

// KeysRequired reports whether the configuration has client accounts.
func (c *Config) KeysRequired() bool { return len(c.Accounts) > 0 }

// KVStore returns the KV store beside the engines, or nil. With several, it is the first
// by name.
func (c *Config) KVStore() *Service {
	var first *Service
	for _, s := range c.Services {
		if s.StoreAddress != "" && (first == nil || s.Name < first.Name) {
			first = s
		}
	}
	return first
}

// Target is one incarnation of a back end as it describes itself.
type Target struct {
	ID, Service, Address, Zone string
	Slots                      int
	// Leaving targets take no new request.
	Leaving bool
	// Weights maps each loaded model to its weights version.
	Weights map[string]int64
	// Started is the Unix time of its start in ms; zero if unknown. A target that
	// starts again under its id has another one and knows nothing of before.
	Started int64
	// Revision is that of the entry in the store.
	Revision uint64
}

// SameIncarnation reports whether two descriptions are of the same incarnation.
func (t *Target) SameIncarnation(o *Target) bool {
	return t.ID == o.ID && t.Started == o.Started && t.Address == o.Address
}

// PublishedVersion is a weights version and when this host first saw its name.
type PublishedVersion struct {
	Version int64
	Since   time.Time
}

// maxNamed bounds the versions that are remembered; older ones are long outdated.
const maxNamed = 32

// DesiredWeights is the weights version that the operator named last for a model.
type DesiredWeights struct {
	Model   string
	Version int64
	// Published lists the versions in ascending order.
	Published []PublishedVersion
}

// WithVersion returns the weights after a newer version is named.
func (w DesiredWeights) WithVersion(version int64, now time.Time) DesiredWeights {
	named := append(append([]PublishedVersion(nil), w.Published...), PublishedVersion{version, now})
	if len(named) > maxNamed {
		named = named[1:]
	}
	return DesiredWeights{Model: w.Model, Version: version, Published: named}
}

// OutdatedFor returns for how long a newer version than the given one has been named;
// zero if there is none.
func (w DesiredWeights) OutdatedFor(version int64, now time.Time) time.Duration {
	for _, n := range w.Published {
		if n.Version > version {
			return max(time.Nanosecond, now.Sub(n.Since))
		}
	}
	return 0
}
