package fleet

import (
	"slices"
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/membership"
)

// memberCandidates returns the live hosts, this one included, whose incarnation the
// applied revision does not list. Draining hosts are no candidates, except that this
// host may replace the entry of its earlier process while it drains.
func (f *Fleet) memberCandidates(d *config.Document, now time.Time) []config.Member {
	var candidates []config.Member
	if !f.isListed(f.self) && (!f.draining.Load() || f.hasOlderEntry(d)) {
		candidates = append(candidates, f.self)
	}
	for _, p := range f.peers {
		reply := p.reply
		reply.Member = p.member
		status := f.hostStatus(&reply, now.Sub(p.lastReplyAt), p.live(now), p.leaving)
		f.applyGossipRecord(&status, now)
		if status.Live && !status.Draining && !status.Listed && p.member.Incarnation != "" && p.member.InnerAddress != "" {
			candidates = append(candidates, p.member)
		}
	}
	return candidates
}

// memberChangeDue reports whether this host has to change the member list: either it has
// to be added itself, or it is a member and another change has been due for longer than
// memberTakeoverAfter.
func (f *Fleet) memberChangeDue(d *config.Document, candidates []config.Member, listed bool, now time.Time) bool {
	if !listed && f.hasOlderEntry(d) {
		return true
	}
	change := membership.Plan(d.Members, candidates, MaxMembers)
	if !listed {
		return slices.Contains(change.Add, f.self)
	}
	due := !change.Empty() || slices.ContainsFunc(candidates, func(c config.Member) bool { return olderEntryIndex(d, c) >= 0 })
	switch {
	case !due:
		f.memberChangeDueSince = time.Time{}
	case f.memberChangeDueSince.IsZero():
		f.memberChangeDueSince = now
	}
	return due && now.Sub(f.memberChangeDueSince) > memberTakeoverAfter
}

// hasOlderEntry reports whether the document lists an earlier process of this host. If
// the listed incarnation is newer, this process has been replaced.
func (f *Fleet) hasOlderEntry(d *config.Document) bool {
	i := slices.IndexFunc(d.Members, func(m config.Member) bool { return m.HostID == f.self.HostID })
	return i >= 0 && d.Members[i].Incarnation != f.self.Incarnation && f.isOlderIncarnation(d.Members[i].Incarnation)
}

// olderEntryIndex returns the index of the entry of an earlier process of the
// candidate's host; -1 if there is none.
func olderEntryIndex(d *config.Document, candidate config.Member) int {
	return slices.IndexFunc(d.Members, func(m config.Member) bool {
		return m.HostID == candidate.HostID && m.Incarnation < candidate.Incarnation
	})
}

// memberMutation returns a mutation that replaces the entries of earlier processes of the
// candidates' hosts and applies the change that membership.Plan returns. It covers all
// candidates, so that hosts that start together need few revisions. Listing a process
// that has just ended is harmless: it does not count until it replies, and the next
// process of its host replaces it.
func (f *Fleet) memberMutation(candidates []config.Member) func(*config.Document) bool {
	return func(d *config.Document) bool {
		changed := false
		for _, c := range candidates {
			i := olderEntryIndex(d, c)
			if c == f.self && f.hasOlderEntry(d) {
				i = slices.IndexFunc(d.Members, func(m config.Member) bool { return m.HostID == c.HostID })
			}
			if i >= 0 {
				d.Members[i], changed = c, true
			}
		}
		change := membership.Plan(d.Members, candidates, MaxMembers)
		d.Members = slices.DeleteFunc(d.Members, func(m config.Member) bool { return slices.Contains(change.Remove, m) })
		d.Members = append(d.Members, change.Add...)
		return changed || !change.Empty()
	}
}
