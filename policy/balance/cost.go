package balance

import (
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

// waitMs estimates how long a request waits at a target before its prompt is read.
func (b *Balancer) waitMs(p *Prompt, t *topology.Target, now time.Time) float64 {
	slots := defaultSlots
	if p.Engine != nil && p.Engine.Slots > 0 {
		slots = p.Engine.Slots
	}
	running := b.InFlight(t)
	return b.state(t).readingMs(now) + busySlotMs*float64(running) + slotWaitMs(running, slots)
}

// slotWaitMs estimates how long a request waits until one ahead of it ends.
func slotWaitMs(running, slots int) float64 {
	return waitingMs * float64(max(0, running-slots+1))
}

// consider estimates what it costs to send a prompt to a target, and decides where the
// target copies shared parts from that it lacks.
func (b *Balancer) consider(p *Prompt, t *topology.Target, v *variant, now time.Time) Choice {
	c := Choice{Target: t, WeightsVersion: v.version}
	shared := p.SharedTokens()
	missing := shared - p.cached(b.cache, v.keys, t.ID, now)
	cost := b.waitMs(p, t, now) + b.distance(t, p.BodyBytes)
	if len(v.keys) > 0 {
		c.PrefixKey = v.keys[len(v.keys)-1]
	}
	if missing > 0 {
		from := b.source(p, t, v, missing)
		if from.address != "" && from.ms < p.readMs(missing)+float64(missing)*rereadMsPerToken {
			c.FetchFrom = from.address
			cost += from.ms + float64(missing)*copyMsPerToken
			missing = 0
		} else {
			c.PrefillsShared = true
			cost += float64(missing) * rereadMsPerToken
		}
	} else if shared > 0 && p.StoreAddress != "" && t.Zone == p.StoreZone && b.cache.holds(c.PrefixKey, storeID, now) {
		// The target may have evicted what it held.
		c.FetchFrom = p.StoreAddress
	}
	if c.PrefillsShared && p.StoreAddress != "" && b.sameRegion(t.Zone, p.StoreZone) && !b.cache.holds(c.PrefixKey, storeID, now) {
		c.SaveTo = p.StoreAddress
	}
	c.UncachedTokens = missing + p.TotalTokens() - shared
	c.PrefillMs = p.readMs(c.UncachedTokens)
	cost += c.PrefillMs * (1 + float64(b.InFlight(t))*disturbMs/1000)
	if v.home != nil && t != v.home {
		cost += notHomeMs
	}
	if outdated := p.DesiredWeights.OutdatedFor(v.version, now) - oldWeightsAfter; outdated > 0 {
		cost += oldWeightsMs + oldWeightsMsPerSecond*outdated.Seconds()
	}
	c.CostMs = cost
	return c
}

// source is where a target could copy a shared prefix from.
type source struct {
	address string
	ms      float64
}

// sameRegion reports whether two zones are in one region. Transfers to and from the KV
// store go one after another over its link, and one that crosses regions takes ten
// times as long: a few of them keep all others from starting.
func (b *Balancer) sameRegion(one, other string) bool {
	return b.regionOfZone[one] == b.regionOfZone[other]
}

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
		return crossZoneTransfer
	default:
		return crossRegionTransfer
	}
}
