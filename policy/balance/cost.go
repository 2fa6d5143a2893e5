package balance

import (
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

// waitMs estimates how long a request waits at a target before its prefill starts.
func (b *Balancer) waitMs(p *Prompt, t *topology.Target, now time.Time) float64 {
	slots := defaultSlots
	if p.Engine != nil && p.Engine.Slots > 0 {
		slots = p.Engine.Slots
	}
	inFlight := b.InFlight(t)
	return b.state(t).remainingPrefillMs(now) + interferenceMs*float64(inFlight) + slotWaitMs(inFlight, slots)
}

// slotWaitMs estimates how long a request waits for a free slot.
func slotWaitMs(inFlight, slots int) float64 {
	return queueMsPerRequest * float64(max(0, inFlight-slots+1))
}

// evaluate estimates the cost of sending a prompt to a target, and chooses where the
// target fetches shared parts from that it does not have cached.
func (b *Balancer) evaluate(p *Prompt, t *topology.Target, v *variant, now time.Time) Choice {
	c := Choice{Target: t, WeightsVersion: v.version, OutdatedFor: p.DesiredWeights.OutdatedFor(v.version, now)}
	if c.OutdatedFor > 0 && p.MaxStaleness > 0 && p.DesiredWeights.StoreLostAt.IsZero() {
		c.LatestStart = now.Add(p.MaxStaleness - latestStartMargin - c.OutdatedFor)
	}
	shared := p.SharedTokens()
	missing := shared - p.cached(b.cache, v.keys, t.ID, now)
	cost := b.waitMs(p, t, now) + b.networkMs(t, p.BodyBytes)
	if len(v.keys) > 0 {
		c.PrefixKey = v.keys[len(v.keys)-1]
	}
	if missing > 0 {
		from := b.fastestSource(p, t, v, missing)
		if from.address != "" && from.ms < p.prefillMs(missing)+float64(missing)*recomputeMsPerToken {
			c.FetchFrom = from.address
			cost += from.ms + float64(missing)*duplicateMsPerToken
			missing = 0
		} else {
			c.PrefillsShared = true
			cost += float64(missing) * recomputeMsPerToken
		}
	} else if shared > 0 && p.StoreAddress != "" && t.Zone == p.StoreZone && b.cache.holds(c.PrefixKey, storeHolder, now) {
		// The target may have evicted the parts that it is expected to have.
		c.FetchFrom = p.StoreAddress
	}
	if c.PrefillsShared && p.StoreAddress != "" && b.sameRegion(t.Zone, p.StoreZone) && !b.cache.holds(c.PrefixKey, storeHolder, now) {
		c.SaveTo = p.StoreAddress
	}
	c.UncachedTokens = missing + p.TotalTokens() - shared
	c.PrefillMs = p.prefillMs(c.UncachedTokens)
	cost += c.PrefillMs * (1 + float64(b.InFlight(t))*prefillInterferenceMs/1000)
	if v.preferred != nil && t != v.preferred {
		cost += notPreferredMs
	}
	if outdated := c.OutdatedFor - outdatedWeightsGrace; outdated > 0 {
		cost += outdatedWeightsMs + outdatedWeightsMsPerSecond*outdated.Seconds()
	}
	c.CostMs = cost
	return c
}

// source is a place from which a target can copy shared parts, and the transfer time.
type source struct {
	address string
	ms      float64
}

// sameRegion reports whether two zones are in one region. The KV store is used only
// within its region: its link carries one transfer at a time, and a transfer between
// regions takes ten times as long, so that a few of them would block all others.
func (b *Balancer) sameRegion(one, other string) bool {
	return b.regionOfZone[one] == b.regionOfZone[other]
}

// transferMs estimates the transfer time of cached tokens within a zone.
func (b *Balancer) transferMs(p *Prompt, tokens int) float64 {
	if p.Engine == nil || p.Engine.LinkMbps <= 0 {
		return 0
	}
	bits := float64(tokens) * float64(p.Engine.TokenBytes) * 8
	return bits / (p.Engine.LinkMbps * 1000)
}

func (b *Balancer) transferFactor(from, to string) float64 {
	switch {
	case from == to:
		return 1
	case b.regionOfZone[from] == b.regionOfZone[to]:
		return crossZoneTransferFactor
	default:
		return crossRegionTransferFactor
	}
}
