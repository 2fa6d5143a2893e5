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
	// prefillMsPerToken is an engine's prefill time for each prompt token, and
	// attentionMsPerMillionPairs its attention time for each million pairs of a
	// computed token and a preceding one.
	prefillMsPerToken          = 0.0108
	attentionMsPerMillionPairs = 0.44
	// prefillInterferenceMs is the cost for each request that runs beside a prefill,
	// for each second of the prefill: it delays the events of that request.
	prefillInterferenceMs = 15
	// recomputeMsPerToken is the additional cost of computing a shared token again: it
	// displaces other cached parts and slows down all requests that the engine runs.
	recomputeMsPerToken = 0.3
	// duplicateMsPerToken is the cost of one more cached copy of a shared token: it
	// displaces cached parts that other requests need.
	duplicateMsPerToken = 0.02
	// fetchSetupMs is the fixed time of a transfer of cached parts.
	fetchSetupMs = 5
	// crossZoneTransferFactor and crossRegionTransferFactor multiply the duration of
	// transfers between zones and between regions.
	crossZoneTransferFactor   = 2
	crossRegionTransferFactor = 10
	// outdatedWeightsMs is the cost of running a request on weights that have been
	// outdated for longer than outdatedWeightsGrace. Each further second adds
	// outdatedWeightsMsPerSecond. A higher cost would send all requests to the few
	// engines that already have the new weights while the others wait to load them.
	outdatedWeightsMs          = 30
	outdatedWeightsMsPerSecond = 30
	outdatedWeightsGrace       = 1500 * time.Millisecond
	// outdatedMargin is how long before the maximum staleness of its weights a target
	// is avoided.
	outdatedMargin = 2 * time.Second
	// startMargin is how long before the maximum staleness a request must be expected
	// to start. It covers the delay with which this host received the version and the
	// way to the target.
	startMargin = 700 * time.Millisecond
	// latestStartMargin is how long before the maximum staleness a request that has not
	// started is withdrawn. It covers the delay with which this host received the
	// version and the way to the target.
	latestStartMargin = 400 * time.Millisecond
	// maxStartWait bounds the expected wait at a target that counts against the maximum
	// staleness, so that a wrong estimate excludes no target much too early.
	maxStartWait = 3 * time.Second
	// notPreferredMs is the cost of any target other than the preferred one, which all
	// hosts choose for a prompt.
	notPreferredMs = 60
	// overloadWaitMs is the wait above which a target is not preferred.
	overloadWaitMs = 300
	// sampledTargets is the expected number of targets in the random sample.
	sampledTargets = 8
	// defaultSlots is assumed for an engine that does not report its slots.
	defaultSlots = 16
)

// Part is one part of a prompt. All parts but the last may be shared with other
// prompts.
type Part struct {
	ID     string
	Tokens int
}

// maxSharedParts bounds the parts of a prompt that are looked up one by one, so that the work
// of a choice, and the notice of it, do not grow with what a caller sends.
const maxSharedParts = 32

// FoldParts joins the shared parts beyond maxSharedParts to one. Targets are then known to
// have either all or none of these.
func FoldParts(parts []Part) []Part {
	shared := len(parts) - 1
	if shared <= maxSharedParts {
		return parts
	}
	var ids xxhash.Digest
	ids.Reset()
	var folded Part
	for _, part := range parts[maxSharedParts-1 : shared] {
		_, _ = ids.WriteString(part.ID + ",") // xxhash never fails
		folded.Tokens += part.Tokens
	}
	folded.ID = "folded:" + strconv.FormatUint(ids.Sum64(), 16)
	return append(slices.Clone(parts[:maxSharedParts-1]), folded, parts[shared])
}

// Prompt is a request with a prompt for an engine.
type Prompt struct {
	Model string
	// CacheScope names the requests that may share cached parts with this one.
	CacheScope string
	Parts      []Part
	BodyBytes  int
	// DesiredWeights holds the published weights versions of the model.
	DesiredWeights topology.DesiredWeights
	// MaxStaleness is the time within which published weights must be loaded; zero
	// means no bound.
	MaxStaleness time.Duration
	Engine       *topology.Engine
	// SampleSeed selects the targets that are considered besides those that have or
	// should have the shared parts; zero considers all.
	SampleSeed uint64
	// StoreAddress and StoreZone locate the KV store; they are empty without one.
	StoreAddress, StoreZone string
}

// cached returns the number of tokens of the leading parts that a holder has cached.
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

// SharedTokens returns the number of tokens that other prompts may share: all parts but
// the last.
func (p *Prompt) SharedTokens() int {
	sum := 0
	for i := 0; i+1 < len(p.Parts); i++ {
		sum += p.Parts[i].Tokens
	}
	return sum
}

// minSharedTokens is the size from which a shared part is worth a message to all hosts. A
// smaller one is read again in a few milliseconds.
const minSharedTokens = 512

// IsSharedWidely reports whether other hosts are to be told where the shared parts are cached.
func (p *Prompt) IsSharedWidely() bool { return p.SharedTokens() >= minSharedTokens }

// TotalTokens returns the number of tokens of all parts.
func (p *Prompt) TotalTokens() int {
	sum := 0
	for _, part := range p.Parts {
		sum += part.Tokens
	}
	return sum
}

// Salt returns the cache salt that separates the cached parts of different weights
// versions and cache scopes.
func Salt(version int64, cacheScope string) string {
	return strconv.FormatInt(version, 10) + "." + cacheScope
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
	salt := Salt(version, p.CacheScope)
	for _, part := range p.Parts[:len(p.Parts)-1] {
		keys = append(keys, PartKey(p.Model, salt, part.ID))
	}
	return keys
}

// prefillMs estimates an engine's prefill time for the uncached tokens at the end of a
// prompt.
func (p *Prompt) prefillMs(uncached int) float64 {
	preceding := float64(p.TotalTokens()) - float64(uncached)/2
	return float64(uncached)*prefillMsPerToken + attentionMsPerMillionPairs*float64(uncached)*preceding/1e6
}

// Choice is the target for a prompt, and where cached parts are fetched from and saved
// to.
type Choice struct {
	Target         *topology.Target
	WeightsVersion int64
	// OutdatedFor is the time since newer weights were published; zero for the newest.
	OutdatedFor time.Duration
	// LatestStart is when the request must have started at the target, so that its
	// weights don't exceed the maximum staleness; zero if there is no such bound.
	LatestStart time.Time
	// UncachedTokens is the number of tokens that the target is expected to compute,
	// and PrefillMs the estimated time for them.
	UncachedTokens int
	PrefillMs      float64
	// FetchFrom and SaveTo are addresses, or empty.
	FetchFrom, SaveTo string
	// PrefixKey identifies the longest shared prefix; zero if the prompt shares
	// nothing.
	PrefixKey Key
	// PrefillsShared reports that the target computes shared parts, because it has no
	// copy of them and fetches none.
	PrefillsShared bool
	// CostMs is the estimated cost by which the target was chosen.
	CostMs float64
	// TooOutdated is the number of targets that were excluded because their weights
	// exceed the maximum staleness.
	TooOutdated int
}

// variant is a prompt under one weights version, which has cache keys of its own.
type variant struct {
	version int64
	keys    []Key
	// preferred is the target that all hosts choose for the prompt's first part; nil if
	// there is none.
	preferred *topology.Target
	// holders are the targets that have all shared parts cached and may be copied from.
	holders []*topology.Target
	// inStore reports that the KV store has all shared parts.
	inStore bool
}

// hasAffinity reports whether a target has the shared parts cached, or is the preferred
// target for them.
func (v *variant) hasAffinity(t *topology.Target) bool {
	return t == v.preferred || slices.Contains(v.holders, t)
}

// Pick returns the choice with the least cost; its Target is nil if no target is
// usable.
//
// Hosts receive reports of each other's requests up to one heartbeat late. If all hosts
// took the target with the least cost, a burst, such as the streams of crashed engines,
// would go to one target and be rejected there. Each request therefore considers only
// the targets with affinity for its shared parts and a random sample of the others.
func (b *Balancer) Pick(p *Prompt, targets []*topology.Target, tried map[string]bool, now time.Time) Choice {
	variants := map[int64]*variant{}
	if p.SampleSeed != 0 && len(targets) > sampledTargets {
		sampled := func(t *topology.Target, v *variant) bool {
			return v.hasAffinity(t) || placement.Hash(t.ID, strconv.FormatUint(p.SampleSeed, 16))%uint64(len(targets)) < sampledTargets
		}
		if best, rank := b.cheapest(p, targets, sampled, variants, tried, now); rank == usable {
			return best
		}
	}
	best, _ := b.cheapest(p, targets, func(*topology.Target, *variant) bool { return true }, variants, tried, now)
	return best
}

// cheapest returns the choice with the lowest rank, and among equals the least cost, of
// the considered targets.
func (b *Balancer) cheapest(p *Prompt, targets []*topology.Target, considered func(*topology.Target, *variant) bool, variants map[int64]*variant, tried map[string]bool, now time.Time) (Choice, exclusion) {
	best := Choice{CostMs: math.Inf(1)}
	bestRank := unusable
	tooOutdated := 0
	for _, t := range targets {
		version := b.WeightsVersion(t, p.Model)
		rank := b.exclusion(t, tried, now)
		if rank < paused {
			outdatedRank := b.rankOutdated(p, t, version, now)
			if outdatedRank == unusable {
				tooOutdated++
			}
			rank = max(rank, outdatedRank)
		}
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
		c := b.evaluate(p, t, v, now)
		if rank < bestRank || c.CostMs < best.CostMs {
			best, bestRank = c, rank
		}
	}
	best.TooOutdated = tooOutdated
	return best, bestRank
}

// rankOutdated ranks a target by the staleness of its weights. A target is excluded if a
// request is expected to start there only after the maximum staleness: the operator's
// bound holds even if no other target is usable.
func (b *Balancer) rankOutdated(p *Prompt, t *topology.Target, version int64, now time.Time) exclusion {
	outdatedFor := p.DesiredWeights.OutdatedFor(version, now)
	if p.MaxStaleness <= 0 || outdatedFor <= p.MaxStaleness-outdatedMargin-maxStartWait {
		return usable
	}
	startsIn := startMargin + min(maxStartWait, time.Duration(b.waitMs(p, t, now)*float64(time.Millisecond)))
	switch {
	case outdatedFor+startsIn > p.MaxStaleness:
		return unusable
	case outdatedFor > p.MaxStaleness-outdatedMargin:
		return outdated
	}
	return usable
}

// variant computes what all targets with the weights version have in common. The
// preferred target is the one with the highest hash for the first shared part among the
// usable targets that are not overloaded.
func (b *Balancer) variant(p *Prompt, version int64, targets []*topology.Target, tried map[string]bool, now time.Time) *variant {
	v := &variant{version: version, keys: p.Keys(version)}
	if len(v.keys) == 0 {
		return v
	}
	shared := p.SharedTokens()
	firstKey := strconv.FormatUint(uint64(v.keys[0]), 16)
	var topScore uint64
	for _, t := range targets {
		if p.cached(b.cache, v.keys, t.ID, now) == shared && b.exclusion(t, nil, now) != ejected {
			v.holders = append(v.holders, t)
		}
		if b.WeightsVersion(t, p.Model) != version || b.exclusion(t, tried, now) != usable || b.waitMs(p, t, now) > overloadWaitMs {
			continue
		}
		if score := placement.Hash(firstKey, t.ID); v.preferred == nil || score > topScore {
			v.preferred, topScore = t, score
		}
	}
	v.inStore = p.cached(b.cache, v.keys, storeHolder, now) == shared
	return v
}

// fastestSource returns the source from which the missing tokens are copied to a target
// in the least time.
func (b *Balancer) fastestSource(p *Prompt, t *topology.Target, v *variant, missing int) source {
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
