package fleet

import (
	"slices"
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/membership"
)

// waitingHosts returns the live hosts, this one included, whose incarnation the
// applied revision does not list. Hosts that drain do not wait for a place, but this
// one replaces the entry of its earlier process.
func (f *Fleet) waitingHosts(d *config.Document, now time.Time) []config.Member {
	var waiting []config.Member
	if !f.lists(f.self) && (!f.draining.Load() || f.replacesOlder(d)) {
		waiting = append(waiting, f.self)
	}
	for _, p := range f.peers {
		reply := p.reply
		reply.Member = p.member
		status := f.status(&reply, now.Sub(p.answeredAt), p.live(now), p.leaving)
		f.applyRecord(&status, now)
		if status.Live && !status.Draining && !status.Listed && p.member.Incarnation != "" && p.member.InnerAddress != "" {
			waiting = append(waiting, p.member)
		}
	}
	return waiting
}

// placesDue reports whether this host has to change the member list: it has a place
// itself, or it is a member and a host with a place has not taken it for placeAfter.
func (f *Fleet) placesDue(d *config.Document, waiting []config.Member, listed bool, now time.Time) bool {
	if !listed && f.replacesOlder(d) {
		return true
	}
	change := membership.Plan(d.Members, waiting, MaxMembers)
	if !listed {
		return slices.Contains(change.Add, f.self)
	}
	due := !change.Empty() || slices.ContainsFunc(waiting, func(w config.Member) bool { return olderEntry(d, w) >= 0 })
	switch {
	case !due:
		f.placesDueSince = time.Time{}
	case f.placesDueSince.IsZero():
		f.placesDueSince = now
	}
	return due && now.Sub(f.placesDueSince) > placeAfter
}

// replacesOlder reports whether the document lists an earlier process of this host. A
// listed incarnation that is newer means that this process has been replaced.
func (f *Fleet) replacesOlder(d *config.Document) bool {
	i := slices.IndexFunc(d.Members, func(m config.Member) bool { return m.HostID == f.self.HostID })
	return i >= 0 && d.Members[i].Incarnation != f.self.Incarnation && f.isOlder(d.Members[i].Incarnation)
}

// olderEntry returns the index of the entry that a newer process of the host replaces;
// -1 if there is none.
func olderEntry(d *config.Document, w config.Member) int {
	return slices.IndexFunc(d.Members, func(m config.Member) bool {
		return m.HostID == w.HostID && m.Incarnation < w.Incarnation
	})
}

// placeMutation gives places to all hosts that wait for one, so that hosts which start
// together need few revisions. Listing a process that has just ended is harmless: it
// does not count until it answers, and its successor replaces it.
func (f *Fleet) placeMutation(waiting []config.Member) func(*config.Document) bool {
	return func(d *config.Document) bool {
		changed := false
		for _, w := range waiting {
			i := olderEntry(d, w)
			if w == f.self && f.replacesOlder(d) {
				i = slices.IndexFunc(d.Members, func(m config.Member) bool { return m.HostID == w.HostID })
			}
			if i >= 0 {
				d.Members[i], changed = w, true
			}
		}
		change := membership.Plan(d.Members, waiting, MaxMembers)
		d.Members = slices.DeleteFunc(d.Members, func(m config.Member) bool { return slices.Contains(change.Remove, m) })
		d.Members = append(d.Members, change.Add...)
		return changed || !change.Empty()
	}
}
