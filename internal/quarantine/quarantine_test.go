package quarantine

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/sequoiaroad/sequoiaroad/internal/peers"
	"github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/internal/view"
	"github.com/sequoiaroad/sequoiaroad/policy/quarantine"
	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

// table is a store with one table. Its clock is the time since its start.
type table struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	started time.Time
	// listed counts the lists of Table.
	listed int
	// delay is how long each read of a row and each commit takes; down makes them fail.
	delay   time.Duration
	down    bool
	version uint64
}

func (t *table) setDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}

var errTableDown = errors.New("the table is down")

// wait waits for the delay of a call. It returns an error if the table is down.
func (t *table) wait() error {
	time.Sleep(t.delay)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return errTableDown
	}
	return nil
}

func newTable() *table { return &table{rows: map[string]platform.Row{}, started: time.Now()} }

func (t *table) List(_ context.Context, name string) (platform.Page, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	page := platform.Page{Version: 1, Clock: time.Since(t.started)}
	if name == Table {
		t.listed++
	}
	for _, r := range t.rows {
		if name == Table {
			page.Rows = append(page.Rows, r)
		}
	}
	return page, nil
}

func (t *table) Changes(ctx context.Context, name string, _ uint64, _ time.Duration) (platform.Page, error) {
	<-ctx.Done()
	return platform.Page{}, ctx.Err()
}

func (t *table) Get(_ context.Context, _, key string) (platform.Row, error) {
	if err := t.wait(); err != nil {
		return platform.Row{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rows[key]
	if !ok {
		return platform.Row{}, platform.ErrNotFound
	}
	return r, nil
}

func (t *table) Commit(_ context.Context, conditions []platform.Condition, writes []platform.Write) (uint64, error) {
	if err := t.wait(); err != nil {
		return 0, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range conditions {
		if t.rows[c.Key].Version != c.Version {
			return 0, platform.ErrConflict
		}
	}
	t.version++
	for _, w := range writes {
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		t.rows[w.Key] = platform.Row{Table: Table, Key: w.Key, Value: w.Value, Version: t.version}
	}
	return t.version, nil
}

func (t *table) lists() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listed
}

func (t *table) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rows)
}

// fleet delivers notices to the keepers that are connected.
type fleet struct {
	keepers []*Keeper
	// reported counts the crashes in notices.
	reported atomic.Int64
	// hosts is the number of hosts that the fleet claims to have, if it is not zero.
	hosts int
}

func (f *fleet) BroadcastQuarantineNotice(_ context.Context, n *peers.QuarantineNotice) {
	f.reported.Add(int64(len(n.Crashes)))
	for _, k := range f.keepers {
		k.HandleNotice(n)
	}
}

func (f *fleet) ReadsForItself() bool { return true }

func (f *fleet) CountHosts() (int, float64) { return max(f.hosts, len(f.keepers)+1), 0 }

// startKeeper starts a keeper on the table that sends its notices to the fleet.
func startKeeper(t *testing.T, store *table, f *fleet) *Keeper {
	v := view.New(store, view.Decoder{
		OperatorTable: "operator", TargetTable: "targets", ErrCompacted: errors.New("compacted"),
		DecodeOperatorRow: func(string, []byte) (*topology.Config, *topology.DesiredWeights, error) { return nil, nil, nil },
	}, hclog.NewNullLogger())
	k, err := New(Options{
		Store: store, Source: store, View: v, Fleet: f, Log: hclog.NewNullLogger(), Meter: noop.Meter{}, OnEntry: func(quarantine.Entry) {},
	})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = v.Run(ctx) })
	running.Go(func() { _ = k.Run(ctx) })
	t.Cleanup(func() { cancel(); running.Wait() })
	return k
}

func crash(k *Keeper, n int, parts ...string) {
	k.RecordCrashes([]quarantine.Crash{{Parts: parts, Target: fmt.Sprint("engine-", n)}})
}

func rejects(k *Keeper, parts ...string) func() bool {
	return func() bool {
		_, ok := k.Match(parts, nil)
		return ok
	}
}

// Guards against hosts that reject a part only after a crash of their own: hosts that
// start later, and hosts that were cut off from the others and missed a notice.
func TestEntryReachesHostsThatMissedTheNotice(t *testing.T) {
	g := NewWithT(t)
	store, connected := newTable(), &fleet{}
	one, cut := startKeeper(t, store, connected), startKeeper(t, store, &fleet{})
	g.Eventually(store.lists, "2s", "1ms").Should(Equal(2), "both have read the table before the entry is in it")
	for n := range 3 {
		crash(one, n, "manual", "deadly")
	}
	g.Expect(rejects(one, "manual", "deadly")()).To(BeTrue())
	g.Eventually(store.size, "3s", "20ms").Should(Equal(1))
	later := startKeeper(t, store, &fleet{})
	g.Eventually(rejects(later, "manual", "deadly"), "2s", "20ms").Should(BeTrue())
	g.Expect(rejects(cut, "manual", "deadly")()).To(BeFalse())
	cut.HandleDigest(one.Digest())
	g.Eventually(rejects(cut, "manual", "deadly"), "3s", "20ms").Should(BeTrue())
	g.Expect(cut.Digest()).To(Equal(one.Digest()))
}

// Guards against sound parts that are rejected by hosts that start after a completion has
// cleared them.
func TestClearedEntryIsRemovedFromTheStore(t *testing.T) {
	g := NewWithT(t)
	store := newTable()
	one := startKeeper(t, store, &fleet{})
	for n := range 3 {
		crash(one, n, "p", "q")
	}
	g.Eventually(store.size, "3s", "20ms").Should(Equal(1))
	one.RecordCompletion([]string{"p"})
	one.RecordCompletion([]string{"q"})
	g.Expect(rejects(one, "p", "q")()).To(BeFalse())
	g.Eventually(store.size, "3s", "20ms").Should(BeZero())
}

// Guards against a table that grows by a row for each entry, and against the removal of one
// that still matters.
func TestExpiredRowsAreRemovedFromTheStore(t *testing.T) {
	g := NewWithT(t)
	store := newTable()
	store.started = time.Now().Add(-3 * time.Hour)
	const hour = int64(time.Hour / time.Millisecond)
	for id, untilMs := range map[string]int64{"expired": hour, "on probation": 3*hour - 1000} {
		value := fmt.Appendf(nil, `{"parts":["manual"],"until_ms":%d,"duration_ms":60000}`, untilMs)
		_, err := store.Commit(t.Context(), nil, []platform.Write{{Table: Table, Key: id, Value: value}})
		g.Expect(err).NotTo(HaveOccurred())
	}
	startKeeper(t, store, &fleet{})
	g.Eventually(store.size, "2s", "20ms").Should(Equal(1))
	g.Consistently(store.size, "100ms", "20ms").Should(Equal(1))
	g.Expect(store.rows).To(HaveKey("on probation"))
}

// Guards against sound parts that stay in quarantine because no host that knows of their
// completions reported them: many targets ended at once, and three of them worked on a part
// that is in rare use.
func TestEntryOfCompletedPartIsContested(t *testing.T) {
	g := NewWithT(t)
	store := newTable()
	fleetOfOne, fleetOfOther := &fleet{hosts: 300}, &fleet{hosts: 300}
	one, other := startKeeper(t, store, fleetOfOne), startKeeper(t, store, fleetOfOther)
	fleetOfOne.keepers, fleetOfOther.keepers = []*Keeper{other}, []*Keeper{one}
	other.RecordCompletion([]string{"rare"})
	for n := range 3 {
		crash(one, n, "rare", "deadly")
	}
	g.Expect(rejects(one, "rare", "deadly")()).To(BeTrue())
	g.Eventually(rejects(one, "deadly", "other"), "2s", "10ms").Should(BeTrue(), "what is left of the entry")
	g.Expect(rejects(one, "rare", "other")()).To(BeFalse())
}

// Guards against hosts that answer nobody for seconds after an engine has crashed under
// prompts of many parts: the time of a crash grew with the cube of their number, and each
// request waited for it.
func TestRequestsDoNotWaitForCrashesOfManyParts(t *testing.T) {
	g := NewWithT(t)
	k := startKeeper(t, newTable(), &fleet{})
	const (
		prompts, partsOfPrompt = 16, 600
		maxWait                = 500 * time.Millisecond // what a timeout may be exceeded by
	)
	var recorded sync.WaitGroup
	done := make(chan struct{})
	for prompt := range prompts {
		recorded.Go(func() {
			var parts []string
			for i := range partsOfPrompt {
				parts = append(parts, fmt.Sprint("model/", i))
			}
			crash(k, 0, append(parts, fmt.Sprint("model/prompt:", prompt))...)
		})
	}
	go func() { recorded.Wait(); close(done) }()
	longest := time.Duration(0)
	for ended := false; !ended; {
		select {
		case <-done:
			ended = true
		default:
		}
		before := time.Now()
		k.Match([]string{"model/sound"}, nil)
		k.RecordCompletion([]string{"model/sound"})
		longest = max(longest, time.Since(before))
	}
	g.Expect(longest).To(BeNumerically("<", maxWait))
}

// startConnectedKeepers starts keepers on one table that send their notices to each other.
func startConnectedKeepers(t *testing.T, store *table, n int) (keepers []*Keeper, fleets []*fleet) {
	for range n {
		f := &fleet{}
		keepers, fleets = append(keepers, startKeeper(t, store, f)), append(fleets, f)
	}
	for i, f := range fleets {
		f.keepers = append(slices.Clone(keepers[:i]), keepers[i+1:]...)
	}
	return keepers, fleets
}

// Guards against an entry that is never kept, so that hosts that start later crash more
// targets: no host had seen the last crash itself, each learned of one that made three from
// the notice of another.
func TestEntryThatAllHostsLearnedFromNoticesIsKept(t *testing.T) {
	g := NewWithT(t)
	store := newTable()
	keepers, _ := startConnectedKeepers(t, store, 2)
	for n := range 4 {
		crash(keepers[n%2], n, "manual", "deadly")
	}
	for _, k := range keepers {
		g.Eventually(rejects(k, "manual", "deadly"), "2s", "10ms").Should(BeTrue())
	}
	g.Eventually(store.size, "2s", "10ms").Should(Equal(1))
}

// crashesBesideOthers is the number of targets that end under a host's requests in the tests
// of many that end together.
const crashesBesideOthers = 10

// Guards against a part that goes on crashing targets because many others end at the same
// time: no host reported any of the crashes.
func TestPartIsRejectedThoughManyTargetsEndTogether(t *testing.T) {
	g := NewWithT(t)
	keepers, _ := startConnectedKeepers(t, newTable(), 4)
	for i, k := range keepers {
		for n := range crashesBesideOthers {
			crash(k, i*100+n, fmt.Sprint("own-", i, "-", n))
		}
		crash(k, i*100+crashesBesideOthers, "deadly", fmt.Sprint("own-", i))
	}
	for _, k := range keepers {
		g.Eventually(rejects(k, "deadly"), "5s", "10ms").Should(BeTrue(), "contact_ms after the crashes")
	}
}

// Guards against notices of each host for each request to all others when a third of the
// targets ends at once and their requests complete elsewhere.
func TestCrashesOfRequestsThatCompleteElsewhereAreNotReported(t *testing.T) {
	g := NewWithT(t)
	keepers, fleets := startConnectedKeepers(t, newTable(), 4)
	for i, k := range keepers {
		for n := range crashesBesideOthers {
			crash(k, i*100+n, "manual", fmt.Sprint("own-", i, "-", n))
		}
	}
	time.Sleep(minMassCrashReportDelay - 100*time.Millisecond)
	for i, k := range keepers {
		for n := range crashesBesideOthers {
			k.RecordCompletion([]string{"manual", fmt.Sprint("own-", i, "-", n)})
		}
	}
	time.Sleep(maxCrashReportDelay + maxMassCrashReportDelay)
	reported := int64(0)
	for _, f := range fleets {
		reported += f.reported.Load()
	}
	g.Expect(reported).To(BeNumerically("<", massCrash))
}
