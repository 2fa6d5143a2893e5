package quarantine

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sequoiaroad/sequoiaroad/internal/peers"
	"github.com/sequoiaroad/sequoiaroad/policy/quarantine"
)

// outgoing is a notice for the peers, and the entries that change with it.
type outgoing struct {
	notice *peers.QuarantineNotice
	rows   []quarantine.Entry
}

// RecordCrashes records that targets ended while they worked on requests of this host.
func (k *Keeper) RecordCrashes(crashes []quarantine.Crash) {
	crashes = slices.DeleteFunc(crashes, func(c quarantine.Crash) bool { return len(c.Parts) == 0 })
	if len(crashes) == 0 {
		return
	}
	var added []quarantine.Entry
	for _, c := range crashes {
		added = append(added, k.applyCrash(c)...)
	}
	if len(added) > 0 {
		k.announce(added)
	}
	time.AfterFunc(rand.N(maxCrashReportDelay), func() {
		if !k.manyCrashedTogether() {
			k.reportCrashes(crashes)
			return
		}
		delay := minMassCrashReportDelay + rand.N(maxMassCrashReportDelay-minMassCrashReportDelay)
		time.AfterFunc(delay, func() { k.reportCrashes(crashes) })
	})
}

// manyCrashedTogether reports whether more targets have crashed within a short time than a
// prompt crashes. Most of their requests complete at other targets soon, and a notice from
// each host for each of them would cost the fleet more than they do.
func (k *Keeper) manyCrashedTogether() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	maps.DeleteFunc(k.crashedAt, func(_ string, at time.Time) bool { return time.Since(at) >= massCrashWindow })
	return len(k.crashedAt) >= massCrash
}

// reportCrashes tells the peers of crashes, without the parts that have completed since.
func (k *Keeper) reportCrashes(crashes []quarantine.Crash) {
	now := time.Now()
	var left []quarantine.Crash
	k.mu.Lock()
	for _, c := range crashes {
		c.Parts = slices.DeleteFunc(slices.Clone(c.Parts), func(part string) bool { return k.registry.IsInnocent(part, now) })
		if len(c.Parts) > 0 {
			left = append(left, c)
		}
	}
	k.mu.Unlock()
	if len(left) == 0 {
		return
	}
	k.enqueue(outgoing{notice: &peers.QuarantineNotice{Crashes: left}})
	k.requestRead()
}

// reportInnocent tells the peers which parts have completed here. In a large fleet a few
// hosts do so, since a part in steady use has completed at most of them.
func (k *Keeper) reportInnocent(innocent []quarantine.Completion, now time.Time) {
	hosts, _ := k.Fleet.CountHosts()
	if len(innocent) == 0 || rand.IntN(max(1, hosts)) >= innocenceReporters {
		return
	}
	k.enqueue(outgoing{notice: innocenceNotice(innocent, now)})
}

func innocenceNotice(innocent []quarantine.Completion, now time.Time) *peers.QuarantineNotice {
	n := &peers.QuarantineNotice{}
	for _, c := range innocent {
		n.Innocent = append(n.Innocent, peers.InnocentPart{Part: c.Part, AgeMs: now.Sub(c.At).Milliseconds()})
	}
	return n
}

// contestEntry tells the peers which parts of a new entry have completed here, unless one of
// them does so first. When many targets end at once, a part in rare use may have been at
// three of them, and the few hosts that know of its completions may not have reported it.
func (k *Keeper) contestEntry(parts []string, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	innocent := k.registry.Innocent(parts, now)
	if len(innocent) == 0 {
		return
	}
	for _, c := range innocent {
		k.contested[c.Part] = true
	}
	time.AfterFunc(rand.N(maxContestDelay), func() { k.reportContested(innocent) })
}

// reportContested reports the parts that no peer has reported meanwhile.
func (k *Keeper) reportContested(innocent []quarantine.Completion) {
	k.mu.Lock()
	innocent = slices.DeleteFunc(innocent, func(c quarantine.Completion) bool { return !k.contested[c.Part] })
	for _, c := range innocent {
		delete(k.contested, c.Part)
	}
	k.mu.Unlock()
	if len(innocent) > 0 {
		k.enqueue(outgoing{notice: innocenceNotice(innocent, time.Now())})
	}
}

// announceLater announces entries that a notice of a crash added here, unless another host
// does so first. The host that saw the crash does not if it lacked an earlier one, whose
// notice came after it.
func (k *Keeper) announceLater(added []quarantine.Entry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range added {
		k.unannounced[e.ID] = true
	}
	time.AfterFunc(rand.N(maxAnnounceDelay), func() {
		k.mu.Lock()
		var left []quarantine.Entry
		for _, e := range added {
			// Parts may have completed since, which has ended the entry or left less of it.
			if current, ok := k.registry.Entry(e.ID); ok && k.unannounced[e.ID] {
				left = append(left, current)
			}
			delete(k.unannounced, e.ID)
		}
		k.mu.Unlock()
		if len(left) > 0 {
			k.announce(left)
		}
	})
}

// announce sends new entries to the peers and keeps them in the store. The host that saw the
// last crash does so at once.
func (k *Keeper) announce(added []quarantine.Entry) {
	k.enqueue(outgoing{notice: entriesNotice(added), rows: added})
}

func entriesNotice(entries []quarantine.Entry) *peers.QuarantineNotice {
	n := &peers.QuarantineNotice{}
	for _, e := range entries {
		n.Entries = append(n.Entries, peers.QuarantineEntry{
			ID: e.ID, Parts: e.Parts, RemainingMs: time.Until(e.Until).Milliseconds(), DurationMs: e.Duration.Milliseconds(),
		})
	}
	return n
}

// HandleNotice handles the notice of a peer.
func (k *Keeper) HandleNotice(n *peers.QuarantineNotice) {
	now := time.Now()
	k.update(func(r *quarantine.Registry) {
		for _, e := range n.Entries {
			delete(k.unannounced, e.ID)
		}
		for _, i := range n.Innocent {
			delete(k.contested, i.Part)
			r.RecordCompletion([]string{i.Part}, now.Add(-milliseconds(i.AgeMs)))
		}
	})
	for _, c := range n.Crashes {
		if added := k.applyCrash(c); len(added) > 0 {
			k.announceLater(added)
		}
	}
	for _, e := range n.Entries {
		k.contestEntry(e.Parts, now)
		k.addEntry(quarantine.Entry{ID: e.ID, Parts: e.Parts, Until: now.Add(milliseconds(e.RemainingMs)), Duration: milliseconds(e.DurationMs)})
	}
}

func (k *Keeper) enqueue(o outgoing) {
	select {
	case k.outgoing <- o:
	default:
		k.Log.Warn("quarantine notice dropped: the queue is full")
	}
}

// send sends queued notices to the peers and writes changed entries to the store.
func (k *Keeper) send(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-k.outgoing:
			go k.broadcast(ctx, o.notice)
			for _, e := range o.rows {
				k.write(ctx, e)
			}
		}
	}
}

func (k *Keeper) broadcast(ctx context.Context, n *peers.QuarantineNotice) {
	ctx, cancel := context.WithTimeout(ctx, broadcastTimeout)
	defer cancel()
	k.Fleet.BroadcastQuarantineNotice(ctx, n)
}
