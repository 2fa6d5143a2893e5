package gossip

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

// modelHost is a running process with its table and links.
type modelHost struct {
	table *Table
	links map[string]*Link
}

type model struct {
	now         time.Time
	incarnation int
	hosts       map[string]*modelHost
	ids         []string
}

func (m *model) start(id string) {
	m.incarnation++
	member := config.Member{HostID: id, Incarnation: fmt.Sprintf("i%04d", m.incarnation), InnerAddress: id}
	m.hosts[id] = &modelHost{NewTable(member), map[string]*Link{}}
}

// exchange runs one probe, whose request or reply may be lost.
func (m *model) exchange(from, to string, loseRequest, loseReply bool) {
	a, b := m.hosts[from], m.hosts[to]
	if from == to || loseRequest {
		return
	}
	if a.links[to] == nil {
		a.links[to] = &Link{}
	}
	request, upTo := a.table.Request(a.links[to], to, m.now)
	reply, _ := b.table.HandleRequest(request, from, m.now)
	if !loseReply {
		a.table.HandleReply(a.links[to], reply, upTo, to, m.now)
	}
}

func (m *model) snapshot() map[string]map[string]Record {
	all := map[string]map[string]Record{}
	for id, h := range m.hosts {
		all[id+h.table.Self().Member.Incarnation] = map[string]Record{}
		for subject, e := range h.table.entries {
			all[id+h.table.Self().Member.Incarnation][subject] = e.record
		}
	}
	return all
}

func (m *model) step(t *rapid.T) {
	pick := rapid.SampledFrom(m.ids)
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
	id, other := pick.Draw(t, "host"), pick.Draw(t, "other")
	table := m.hosts[id].table
	switch rapid.IntRange(0, 9).Draw(t, "step") {
	case 0:
		table.SetSelf(rapid.Bool().Draw(t, "draining"), rapid.Bool().Draw(t, "fresh"))
	case 1:
		if r, ok := table.Get(other); ok {
			table.MarkDead(other, r.Member.Incarnation, m.now)
		}
	case 2:
		m.start(id)
	default:
		m.exchange(id, other, rapid.IntRange(0, 3).Draw(t, "request lost") == 0, rapid.IntRange(0, 3).Draw(t, "reply lost") == 0)
	}
}

// Guards against a record that is replaced by an older one, in particular one of a dead
// incarnation, and against tables that stay different after lost messages, restarts and
// hosts wrongly marked as dead.
func TestTablesConvergeAndNeverRegress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{now: time.Unix(1000, 0), hosts: map[string]*modelHost{}}
		for i := range rapid.IntRange(2, 6).Draw(t, "hosts") {
			m.ids = append(m.ids, fmt.Sprint("h", i))
			m.start(m.ids[i])
		}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			before := m.snapshot()
			m.step(t)
			for host, records := range m.snapshot() {
				for subject, r := range records {
					if old, ok := before[host][subject]; ok && old != r && !r.Supersedes(old) {
						t.Fatalf("%s replaced %+v by %+v", host, old, r)
					}
				}
			}
		}
		for range 3 {
			for _, a := range m.ids {
				for _, b := range m.ids {
					m.exchange(a, b, false, false)
				}
			}
		}
		for _, a := range m.ids {
			for _, b := range m.ids {
				want := m.hosts[b].table.Self()
				if got, _ := m.hosts[a].table.Get(b); got != want {
					t.Fatalf("%s holds %+v, want %+v", a, got, want)
				}
			}
			if m.hosts[a].table.Sum() != m.hosts[m.ids[0]].table.Sum() {
				t.Fatal("equal tables have different sums")
			}
		}
	})
}

// Guards against the record of a dead incarnation that replaces a newer one, in either
// order of arrival.
func TestNewerIncarnationSupersedesADeadOne(t *testing.T) {
	dead := Record{Member: config.Member{HostID: "b", Incarnation: "i1"}, Version: 9, Dead: true}
	live := Record{Member: config.Member{HostID: "b", Incarnation: "i2"}, Version: 1}
	for _, order := range [][]Record{{dead, live}, {live, dead}} {
		table := NewTable(config.Member{HostID: "a", Incarnation: "i1"})
		for _, r := range order {
			table.Merge(r, "c", time.Unix(1000, 0))
		}
		if got, _ := table.Get("b"); got != live {
			t.Fatalf("table holds %+v instead of the newer incarnation", got)
		}
	}
}

// Guards against records of dead hosts that fill the table, or that never expire
// because hosts keep relaying them to each other.
func TestDeadRecordsExpire(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := NewTable(config.Member{HostID: "a"}), NewTable(config.Member{HostID: "b"})
	a.Merge(Record{Member: config.Member{HostID: "x"}, Version: 1, Dead: true}, "c", now)
	records, _ := a.Since(0, "b", MaxRecords, now.Add(deadRetention-time.Minute))
	b.mergeAll(records, "a", now.Add(deadRetention-time.Minute))
	b.ExpireDead(now.Add(deadRetention))
	if _, ok := b.Get("x"); ok {
		t.Fatal("the relayed record is kept for longer than its age allows")
	}
	for i := range 2 * maxDeadRecords {
		a.Merge(Record{Member: config.Member{HostID: fmt.Sprint(i)}, Version: 1, Dead: true}, "c", now)
	}
	if a.Len() > maxDeadRecords+1 {
		t.Fatalf("table has %d records, which exceeds the bound", a.Len())
	}
}

// Guards against a host with no path to a member over at most two parents, a host with
// too few parents, and the loss of a host that changes the parents of unrelated hosts.
func TestLayoutIsShallowAndStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := make([]string, rapid.IntRange(1, 350).Draw(t, "hosts"))
		for i := range live {
			live[i] = fmt.Sprintf("host-%03d", i)
		}
		members := live[:min(len(live), rapid.IntRange(1, 9).Draw(t, "members"))]
		l := NewLayout(members, live)
		for _, id := range live {
			if l.IsMember(id) {
				continue
			}
			for _, p := range l.Parents(id) {
				if !l.IsMember(p) && !slices.ContainsFunc(l.Parents(p), l.IsMember) {
					t.Fatalf("%s has parent %s, which contacts no member", id, p)
				}
			}
			if len(l.Parents(id)) < min(2, len(members)) {
				t.Fatalf("%s has parents %v", id, l.Parents(id))
			}
		}
		lost := rapid.SampledFrom(live).Draw(t, "lost")
		rest := slices.DeleteFunc(slices.Clone(live), func(id string) bool { return id == lost })
		after := NewLayout(members, rest)
		promoted := ""
		for _, id := range rest {
			if slices.ContainsFunc(after.Parents(id), l.IsMember) && !slices.ContainsFunc(l.Parents(id), l.IsMember) {
				if promoted != "" {
					t.Fatalf("both %s and %s became relays", promoted, id)
				}
				promoted = id
			}
		}
		for _, id := range rest {
			affected := id == promoted || slices.Contains(l.Parents(id), lost) || slices.Contains(after.Parents(id), promoted)
			if !affected && !slices.Equal(l.Parents(id), after.Parents(id)) {
				t.Fatalf("parents of unrelated host %s changed from %v to %v", id, l.Parents(id), after.Parents(id))
			}
		}
	})
}

// Guards against a restarted host whose new record does not reach the host that it
// contacts, or that does not get back the records which it sent before its restart.
func TestRestartedHostIsSynchronizedAtFirstContact(t *testing.T) {
	m := &model{now: time.Unix(1000, 0), hosts: map[string]*modelHost{}}
	for _, id := range []string{"parent", "child"} {
		m.start(id)
	}
	third := Record{Member: config.Member{HostID: "third", Incarnation: "i1"}, Version: 1}
	m.hosts["child"].table.Merge(third, "", m.now)
	m.exchange("parent", "child", false, false)
	m.start("child")
	m.exchange("child", "parent", false, false)
	if got, _ := m.hosts["child"].table.Get("third"); got != third {
		t.Fatalf("the restarted child holds %+v", got)
	}
	m.start("parent")
	m.exchange("child", "parent", false, false)
	m.exchange("child", "parent", false, false)
	if got, _ := m.hosts["parent"].table.Get("child"); got != m.hosts["child"].table.Self() {
		t.Fatalf("the restarted parent holds %+v", got)
	}
}
