package fanout

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func fleet(n, zones int) []Host {
	out := make([]Host, n)
	for i := range out {
		out[i] = Host{ID: fmt.Sprintf("h%03d", i), Zone: fmt.Sprint("z", i%zones)}
	}
	return out
}

func without(all []Host, id string) []Host {
	return slices.DeleteFunc(slices.Clone(all), func(h Host) bool { return h.ID == id })
}

// reached returns the hosts that receive a host's state in a round.
func reached(all []Host, self Host, round uint64) map[string]bool {
	out := map[string]bool{}
	layout := NewLayout(self, without(all, self.ID))
	for _, h := range layout.Group() {
		out[h.ID] = true
	}
	for _, c := range layout.Contacts(round) {
		out[c.ID] = true
		for _, h := range NewLayout(c, without(all, c.ID)).Group() {
			out[h.ID] = true
		}
	}
	return out
}

// Guards against hosts that never receive another host's state, in fleets of any size
// and shape.
func TestEachHostIsReachedInEachRound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := fleet(rapid.IntRange(2, 360).Draw(t, "hosts"), rapid.IntRange(1, 7).Draw(t, "zones"))
		self := rapid.SampledFrom(all).Draw(t, "self")
		got := reached(all, self, rapid.Uint64().Draw(t, "round"))
		if len(got) != len(all)-1 || got[self.ID] {
			t.Fatalf("%d of %d hosts are reached", len(got), len(all)-1)
		}
	})
}

// Guards against messages that grow linearly with the fleet: at the design size of 350
// hosts a host sends about a tenth of the messages that sending to each other host
// would take.
func TestMessagesGrowWithTheSquareRoot(t *testing.T) {
	g := NewWithT(t)
	for hosts, maxMessages := range map[int]int{9: 8, 16: 15, 74: 18, 99: 20, 350: 38} {
		all := fleet(hosts, 6)
		l := NewLayout(all[0], all[1:])
		g.Expect(len(l.Group())+len(l.Contacts(0))).To(BeNumerically("<=", maxMessages), "%d hosts", hosts)
	}
}

// Guards against a group that receives no state because its contact has failed.
func TestContactsRotateAndSkipUnresponsiveHosts(t *testing.T) {
	g := NewWithT(t)
	all := fleet(60, 3)
	l := NewLayout(all[0], all[1:])
	g.Expect(l.Direct()).To(BeFalse())
	g.Expect(l.Contacts(1)).NotTo(Equal(l.Contacts(2)))
	failed := l.Contacts(1)[0]
	others := without(all[1:], failed.ID)
	failed.Unresponsive = true
	again := NewLayout(all[0], append(others, failed))
	g.Expect(again.Contacts(1)[0]).NotTo(Equal(failed))
}

// Guards against a group that is never contacted again once all its hosts are
// unresponsive.
func TestUnresponsiveGroupKeepsAContact(t *testing.T) {
	g := NewWithT(t)
	all := fleet(60, 3)
	for i := range all[1:] {
		all[i+1].Unresponsive = true
	}
	l := NewLayout(all[0], all[1:])
	g.Expect(l.Contacts(5)).To(HaveLen(len(l.otherGroups)))
}

// watchers returns the hosts that watch the store.
func watchers(all []Host) []Host {
	var out []Host
	for _, h := range all {
		if NewLayout(h, without(all, h.ID)).WatchesStore() {
			out = append(out, h)
		}
	}
	return out
}

// Guards against a group in which no host watches the store, or all do: each watcher
// causes calls to the store for every change.
func TestOneHostOfEachGroupWatchesTheStore(t *testing.T) {
	g := NewWithT(t)
	all := fleet(72, 6)
	first := watchers(all)
	g.Expect(first).To(HaveLen(6))
	g.Expect(watchers(fleet(9, 3))).To(HaveLen(9))
	for i := range all {
		all[i].Unresponsive = all[i].ID == first[0].ID
		all[i].StoreUnreachable = all[i].ID == first[1].ID
	}
	var ids []string
	for _, h := range watchers(all) {
		ids = append(ids, h.ID)
	}
	// The first two still watch, and one more host of each of their groups does.
	g.Expect(ids).To(HaveLen(8))
	g.Expect(ids).To(ContainElements(first[0].ID, first[1].ID))
}
