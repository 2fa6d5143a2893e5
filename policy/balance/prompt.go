package balance

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sequoiaroad/sequoiaroad/policy/placement"
	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

const (
	// readMsPerToken is the time that an engine takes to read a prompt token, and
	// attentionMs the time for each million pairs of a token read and one before it.
	readMsPerToken = 0.0108
	attentionMs    = 0.44
	// disturbMs is the cost for each request that runs beside a prompt, for each
	// second that the prompt is read: its events come late meanwhile.
	disturbMs = 15
	// rereadMsPerToken is the price of reading a shared token that some target has
	// cached: it takes the memory of other cached parts and the time of all requests
	// that the engine runs.
	rereadMsPerToken = 0.3
	// copyMsPerToken is the price of a further copy of a shared token: it takes the
	// place of cached parts that other requests need.
	copyMsPerToken = 0.02
	// fetchSetupMs is the fixed time of a transfer of cached parts.
	fetchSetupMs = 5
	// crossZoneTransfer and crossRegionTransfer are how much longer transfers take
	// between zones and regions.
	crossZoneTransfer   = 2
	crossRegionTransfer = 10
	// oldWeightsMs is the cost of an answer on weights that are no longer the newest,
	// once they are older than oldWeightsAfter, and oldWeightsMsPerSecond what each
	// further second adds. A higher cost sends all requests to the few engines that
	// have the new weights, while the others wait for theirs.
	oldWeightsMs          = 30
	oldWeightsMsPerSecond = 30
	oldWeightsAfter       = 1500 * time.Millisecond
	// outdatedMargin covers the time between the choice of a target and the begin of
	// the request there.
	outdatedMargin = 2 * time.Second
	// notHomeMs is the advantage of the target that all hosts agree on for a prompt.
	notHomeMs = 60
	// overloadMs is the wait above which the agreed target is passed over.
	overloadMs = 300
	// sampledTargets is the number of targets that are considered by chance.
	sampledTargets = 8
	// defaultSlots holds for an engine that does not say how many it has.
	defaultSlots = 16
)

// Part is a part of a prompt in order.
type Part struct {
	ID     string
	Tokens int
}

// Prompt is a request that reads a prompt.
type Prompt struct {
	Model string
	// IsolatedAccount separates cached parts: an isolated account's name, or "".
	IsolatedAccount string
	Parts           []Part
	BodyBytes       int
	// DesiredWeights holds the weights versions that are named.
	DesiredWeights topology.DesiredWeights
	// MaxStaleness is the time within which named weights must be in place; zero
	// means no bound.
	MaxStaleness time.Duration
	Engine       *topology.Engine
	// SampleSeed picks the targets that are considered besides those that have or should have
	// the shared parts; zero considers all.
	SampleSeed uint64
	// Store is the address and zone of the KV store; empty without one.
	StoreAddress, StoreZone string
}

// cached returns the tokens of the leading parts that a holder has.
func (p *Prompt) cached(m *cacheMap, keys []Key, holder string, now time.Time) int {
	sum := 0
	for i, key := range keys {
		if !m.holds(key, holder, now) {
			break
		}
		sum += p.Parts[i].Tokens
	}
	return sum
}

// SharedTokens returns the tokens that other requests may share.
func (p *Prompt) SharedTokens() int {
	sum := 0
	for i := 0; i+1 < len(p.Parts); i++ {
		sum += p.Parts[i].Tokens
	}
	return sum
}

// TotalTokens returns all tokens.
func (p *Prompt) TotalTokens() int {
	sum := 0
	for _, part := range p.Parts {
		sum += part.Tokens
	}
	return sum
}

// Salt is the text that separates the cached parts of a weights version and a wall.
func Salt(version int64, wall string) string {
	return strconv.FormatInt(version, 10) + "." + wall
}

// PartKey returns the key of a part that is cached under a salt.
func PartKey(model, salt, partID string) Key {
	var digest xxhash.Digest
	digest.Reset()
	for _, s := range [...]string{model, "\x00", salt, "\x00", partID} {
		_, _ = digest.WriteString(s) // xxhash never fails
	}
	return Key(digest.Sum64())
}

// Keys returns a key for each shared part of the prompt under a weights version.
func (p *Prompt) Keys(version int64) []Key {
	if len(p.Parts) < 2 {
		return nil
	}
	keys := make([]Key, 0, len(p.Parts)-1)
	salt := Salt(version, p.IsolatedAccount)
	for _, part := range p.Parts[:len(p.Parts)-1] {
		keys = append(keys, PartKey(p.Model, salt, part.ID))
	}
	return keys
}

// readMs is how long an engine reads the last tokens of a prompt.
func (p *Prompt) readMs(uncached int) float64 {
	before := float64(p.TotalTokens()) - float64(uncached)/2
	return float64(uncached)*readMsPerToken + attentionMs*float64(uncached)*before/1e6
}

// Choice is a target for a prompt and where cached parts come from and go to.
type Choice struct {
	Target         *topology.Target
	WeightsVersion int64
	// UncachedTokens is the number of tokens that the target is expected to read, and
	// PrefillMs the time that it takes for them.
	UncachedTokens int
	PrefillMs      float64
	// FetchFrom and SaveTo are addresses, or "".
	FetchFrom, SaveTo string
	// PrefixKey is the longest shared prefix; zero if the prompt shares nothing.
	PrefixKey Key
	// PrefillsShared says that the target reads shared parts that no other holds.
	PrefillsShared bool
	// CostMs is the estimate that decided.
	CostMs float64
}

// variant is a prompt under one weights version: its cached parts have keys of their
// own.
type variant struct {
	version int64
	keys    []Key
	// home is the target that all hosts agree on; nil if there is none.
	home *topology.Target
	// holders are the targets that have all shared parts and may be copied from.
	holders []*topology.Target
	// inStore says that the KV store has all shared parts.
	inStore bool
}

// near reports whether a target has the shared parts or should have them.
func (v *variant) near(t *topology.Target) bool {
	return t == v.home || slices.Contains(v.holders, t)
}

// Pick returns the choice with the least cost; Target is nil if no target is usable.
//
// Hosts learn each other's sends late, by up to a heartbeat. If all of them took the
// target that costs least, a burst, such as the streams of engines that crash, would go
// to one target and be rejected there. So each request considers the targets that have
// or should have its shared parts, and a few others by chance.
func (b *Balancer) Pick(p *Prompt, targets []*topology.Target, tried map[string]bool, now time.Time) Choice {
	b.dropSilentPeers(now)
	variants := map[int64]*variant{}
	if p.SampleSeed != 0 && len(targets) > sampledTargets {
		drawn := func(t *topology.Target, v *variant) bool {
			return v.near(t) || placement.Hash(t.ID, strconv.FormatUint(p.SampleSeed, 16))%uint64(len(targets)) < sampledTargets
		}
		if best, rank := b.cheapest(p, targets, drawn, variants, tried, now); rank == usable {
			return best
		}
	}
	best, _ := b.cheapest(p, targets, func(*topology.Target, *variant) bool { return true }, variants, tried, now)
	return best
}

// cheapest returns the choice with the lowest rank and the least cost among the
// targets that are considered.
func (b *Balancer) cheapest(p *Prompt, targets []*topology.Target, considered func(*topology.Target, *variant) bool, variants map[int64]*variant, tried map[string]bool, now time.Time) (Choice, exclusion) {
	best := Choice{CostMs: math.Inf(1)}
	bestRank := unusable
	for _, t := range targets {
		version := b.WeightsVersion(t, p.Model)
		rank := p.outdated(version, b.exclusion(t, tried, now), now)
		if rank >= paused || rank > bestRank {
			continue
		}
		v := variants[version]
		if v == nil {
			v = b.variant(p, version, targets, tried, now)
			variants[version] = v
		}
		if !considered(t, v) {
			continue
		}
		c := b.consider(p, t, v, now)
		if rank < bestRank || c.CostMs < best.CostMs {
			best, bestRank = c, rank
		}
	}
	return best, bestRank
}

// outdated raises the rank of targets whose weights are about to be older than the
// bound allows when a request begins there.
func (p *Prompt) outdated(version int64, rank exclusion, now time.Time) exclusion {
	limit := p.MaxStaleness - outdatedMargin
	if rank < outdated && p.MaxStaleness > 0 && p.DesiredWeights.OutdatedFor(version, now) > limit {
		return outdated
	}
	return rank
}

// variant looks up what is the same for all targets that have the version. The home is
// the usable target with the highest hash of the first shared part that is not
// overloaded.
func (b *Balancer) variant(p *Prompt, version int64, targets []*topology.Target, tried map[string]bool, now time.Time) *variant {
	v := &variant{version: version, keys: p.Keys(version)}
	if len(v.keys) == 0 {
		return v
	}
	shared := p.SharedTokens()
	first := strconv.FormatUint(uint64(v.keys[0]), 16)
	var top uint64
	for _, t := range targets {
		if p.cached(b.cache, v.keys, t.ID, now) == shared && b.exclusion(t, nil, now) != ejected {
			v.holders = append(v.holders, t)
		}
		if b.WeightsVersion(t, p.Model) != version || b.exclusion(t, tried, now) != usable || b.waitMs(p, t, now) > overloadMs {
			continue
		}
		if score := placement.Hash(first, t.ID); v.home == nil || score > top {
			v.home, top = t, score
		}
	}
	v.inStore = p.cached(b.cache, v.keys, storeID, now) == shared
	return v
}

// source returns the quickest place to copy the missing tokens to a target from.
func (b *Balancer) source(p *Prompt, t *topology.Target, v *variant, missing int) source {
	best := source{ms: math.Inf(1)}
	base := b.transferMs(p, missing)
	for _, holder := range v.holders {
		if holder == t {
			continue
		}
		if ms := fetchSetupMs + base*b.transferFactor(holder.Zone, t.Zone); ms < best.ms {
			best = source{holder.Address, ms}
		}
	}
	if p.StoreAddress != "" && v.inStore && b.sameRegion(t.Zone, p.StoreZone) {
		if ms := fetchSetupMs + base*b.transferFactor(p.StoreZone, t.Zone); ms < best.ms {
			best = source{p.StoreAddress, ms}
		}
	}
	return best
}
