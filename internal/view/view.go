package view

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/clock"
	store "github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/policy/exchange"
	"github.com/sequoiaroad/sequoiaroad/policy/storeclock"
	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

const (
	// longPollTimeout is how long the store keeps a call without changes open. Together
	// with the timeout of the response it bounds the time until a dead connection is
	// detected, and must stay below the time within which a change is in force.
	longPollTimeout = 1500 * time.Millisecond
	// watchBatchDelay batches changes that come close together into one call.
	watchBatchDelay = 150 * time.Millisecond
	// minRetry and maxRetry bound the delay after a failed call.
	minRetry = 150 * time.Millisecond
	maxRetry = time.Second
	// hostListInterval is the interval between listings of the hosts. Hosts report new
	// hosts to each other, so the listing only matters after a start.
	// firstHostListInterval applies while no other host is listed, since the others may
	// not have written their entries yet.
	hostListInterval      = 15 * time.Second
	firstHostListInterval = time.Second
	// expiredEntryGrace is how long a target whose entry expired during an outage of the
	// store may take to write it again.
	expiredEntryGrace = 2 * time.Second
	// restoredEntryProbation is how long a target gets no requests whose entry had been
	// removed and is back from the copy of a restored store. The entry of a target that has
	// ended lapses within that time.
	restoredEntryProbation = 5 * time.Second
	// outageThreshold is the time without a response of the store after which its
	// entries may expire.
	outageThreshold = 1500 * time.Millisecond
	// outageConfirmation is how long the store must not answer this host, nor any other that
	// responds, before this counts as an outage. Within that time hosts whose long polls had
	// just begun notice an outage, too, and have told it.
	outageConfirmation = longPollTimeout + time.Second
	// idleCheckInterval is the interval between checks whether this host should watch the
	// store.
	idleCheckInterval = 100 * time.Millisecond
	// publicationsCheckInterval is the interval between checks whether this host should read
	// when weights were published.
	publicationsCheckInterval = 50 * time.Millisecond
	// suspensionCheckInterval is the interval between checks whether the machine was
	// suspended.
	suspensionCheckInterval = 500 * time.Millisecond
)

// HostsTable holds an entry for each host of the system.
const HostsTable = "sequoiaroad.hosts"

// Source lists the tables of the store and watches their changes.
type Source interface {
	// List returns all rows of a table, and the version from which to watch its changes.
	List(ctx context.Context, table string) (store.Page, error)
	// Changes returns the rows that changed after a version, and the version up to which
	// they are complete. If there are none, it waits for them up to wait.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (store.Page, error)
}

// Decoder decodes rows that the platform wrote. DecodeOperatorRow returns nil values
// for rows of an unknown type.
type Decoder struct {
	OperatorTable, TargetTable string
	// ErrCompacted is the error of Changes after which the table must be listed again.
	ErrCompacted      error
	DecodeOperatorRow func(key string, value []byte) (*topology.Config, *topology.DesiredWeights, error)
	DecodeTarget      func(id string, value []byte) (*topology.Target, error)
}

// Host is the entry of a host in the store.
type Host struct {
	exchange.Host
	// Position is that of the entry in the store; zero if it was not read there.
	Position store.Position `json:"-"`
}

// Snapshot is the applied state of the tables at one time. It is immutable.
type Snapshot struct {
	// Config is nil until the first configuration is applied.
	Config         *topology.Config
	Targets        map[string]*topology.Target
	ByService      map[string][]*topology.Target
	DesiredWeights map[string]topology.DesiredWeights
	Hosts          map[string]Host
}

// View watches the tables of the store and publishes snapshots of them.
type View struct {
	source  Source
	decoder Decoder
	log     hclog.Logger

	Operator, Targets, Hosts *Table

	mu      sync.Mutex
	config  *topology.Config
	desired map[string]topology.DesiredWeights
	// documents are the operator's documents in force, by key.
	documents map[string]document
	targets   map[string]*topology.Target
	// departures are the targets that have said that they leave or whose entries were
	// removed.
	departures *topology.Departures
	// distrusted are targets that get no requests because their entries had been removed
	// before the store was restored.
	distrusted map[string]*topology.Target
	hosts      map[string]Host
	// storeLostAt is since when the store has not answered this host; zero if it answers.
	storeLostAt time.Time
	// outage means that it answers no other host either: the time since storeLostAt does not
	// count as staleness of weights.
	outage bool
	// storeRecoveredAt is when the store last responded again after an outage.
	storeRecoveredAt time.Time
	// removeAt is when targets whose entries expired are removed.
	removeAt map[string]time.Time
	// era is the highest era of the store in any response; zero before the first.
	era uint64
	// clock relates the store's clock to that of this process.
	clock storeclock.Clock
	// publicationsRead means that the recorded publications were applied.
	publicationsRead bool
	// started and bootStarted are the start by the clock of this process and by the one
	// that goes on while the machine is suspended; suspended is their difference since.
	started, bootStarted time.Time
	suspended            time.Duration
	snapshot             atomic.Pointer[Snapshot]
	listeners            []func(*Snapshot)
	restorationListeners []func()
	sharing              Sharing
}

// Sharing lets hosts watch the store on behalf of each other.
type Sharing struct {
	// WatchesStore reports whether this host watches the store or receives rows from hosts
	// that do.
	WatchesStore func() bool
	// ListsHosts reports whether this host reads the hosts' entries.
	ListsHosts func() bool
	// ReadsForItself reports whether this host reads when weights were published, which a
	// hub tells its members.
	ReadsForItself func() bool
	// OnStoreRows is called when the store has changed rows after a position.
	OnStoreRows func(t *Table, after store.Position)
}

// New returns an empty view.
func New(source Source, decoder Decoder, log hclog.Logger) *View {
	v := &View{
		source: source, decoder: decoder, log: log,
		Operator: newTable(decoder.OperatorTable), Targets: newTable(decoder.TargetTable), Hosts: newTable(HostsTable),
		desired: map[string]topology.DesiredWeights{}, documents: map[string]document{}, targets: map[string]*topology.Target{},
		departures: topology.NewDepartures(), distrusted: map[string]*topology.Target{}, hosts: map[string]Host{}, removeAt: map[string]time.Time{},
		started: time.Now(), bootStarted: clock.BootTimeNow(),
		sharing: Sharing{
			WatchesStore: func() bool { return true }, ListsHosts: func() bool { return true },
			ReadsForItself: func() bool { return true },
			OnStoreRows:    func(*Table, store.Position) {},
		},
	}
	v.snapshot.Store(&Snapshot{})
	return v
}

// OnChange adds a listener that is called with each new snapshot. It must be called
// before Run.
func (v *View) OnChange(f func(*Snapshot)) { v.listeners = append(v.listeners, f) }

// OnRestoration adds a listener that is called when the store was restored from an older
// copy. It must not block, and must be added before Run.
func (v *View) OnRestoration(f func()) { v.restorationListeners = append(v.restorationListeners, f) }

// ConfigureSharing sets how this host shares the watching of the store with others. It must
// be called before Run.
func (v *View) ConfigureSharing(s Sharing) { v.sharing = s }

// StoreUnreachable reports whether the store does not respond to this host.
func (v *View) StoreUnreachable() bool {
	return v.Operator.isUnreachable() || v.Targets.isUnreachable()
}

// ReachesStore reports whether the store responds to this host, which calls it.
func (v *View) ReachesStore(now time.Time) bool {
	return v.Operator.isReached(now) && v.Targets.isReached(now)
}

// StoreRecoveredAt returns when the store last responded again after an outage; zero if
// never.
func (v *View) StoreRecoveredAt() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.storeRecoveredAt
}

// Era returns the highest era of the store that this host has seen; zero before the first
// response and for a store without eras.
func (v *View) Era() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.era
}

// Snapshot returns the current snapshot.
func (v *View) Snapshot() *Snapshot { return v.snapshot.Load() }

// Run watches all tables until ctx ends.
func (v *View) Run(ctx context.Context) error {
	var running sync.WaitGroup
	for _, t := range []*Table{v.Operator, v.Targets, v.Hosts} {
		running.Go(func() { v.watch(ctx, t) })
	}
	running.Go(func() { clock.Every(ctx, suspensionCheckInterval, v.checkSuspension) })
	running.Go(func() { clock.Every(ctx, publicationsCheckInterval, func() { v.readPublications(ctx) }) })
	running.Wait()
	return nil
}

func (v *View) watch(ctx context.Context, t *Table) {
	retry := minRetry
	for ctx.Err() == nil {
		if v.isIdle(t) {
			t.recordIdle(time.Now())
			clock.Sleep(ctx, idleCheckInterval)
			continue
		}
		err := v.poll(ctx, t)
		switch {
		case err == nil:
			if t.setUnreachable(false) {
				v.log.Info("store answers again", "table", t.name)
				v.recordReachability(time.Now())
			}
			retry = minRetry
		case errors.Is(err, v.decoder.ErrCompacted):
			v.log.Info("store compacted its history; listing the table again", "table", t.name)
			t.invalidateListing()
		default:
			if ctx.Err() == nil && !t.setUnreachable(true) {
				v.log.Warn("store does not answer", "table", t.name, "error", err)
				v.recordReachability(time.Now())
			}
			clock.Sleep(ctx, retry/2+rand.N(retry))
			retry = min(2*retry, maxRetry)
		}
	}
}

// isIdle reports whether this host does not read a table now, since others do. A host that the
// store does not answer goes on asking: it leaves the outage out of the staleness of weights
// until the store answers.
func (v *View) isIdle(t *Table) bool {
	if t == v.Hosts {
		return !v.sharing.ListsHosts()
	}
	_, listed := t.position()
	return listed && !t.isUnreachable() && !v.sharing.WatchesStore()
}

// poll makes one call to the store and applies the response.
func (v *View) poll(ctx context.Context, t *Table) error {
	cursor, listed := t.position()
	if t == v.Hosts && listed {
		pause := hostListInterval
		if cursor.Version == 0 || len(v.Snapshot().Hosts) <= 1 {
			pause = firstHostListInterval
		}
		clock.Sleep(ctx, pause)
		listed = false
	}
	if !listed {
		page, err := v.source.List(ctx, t.name)
		if err != nil {
			return err
		}
		return v.applyListing(ctx, t, page)
	}
	wait := longPollTimeout
	if t.isUnreachable() {
		// A long poll would prolong the outage by the time that it waits.
		wait = 0
	}
	page, err := v.source.Changes(ctx, t.name, cursor.Version, wait)
	if err != nil {
		return err
	}
	v.recordResponse(t, page)
	u, before, ok := t.applyChanges(page.Rows, page.Position(), time.Now())
	if !ok {
		return errors.Wrapf(v.decoder.ErrCompacted, "the store was restored: changes of era %d, listing of era %d", page.Era, cursor.Era)
	}
	if len(u.rows) > 0 {
		v.applyRows(t, u)
		v.sharing.OnStoreRows(t, before)
	}
	if len(page.Rows) > 0 {
		clock.Sleep(ctx, watchBatchDelay)
	}
	return nil
}

// applyListing applies a complete listing of a table. A listing that is older than what is
// known is ignored; the store responds with a newer one after a while.
func (v *View) applyListing(ctx context.Context, t *Table, page store.Page) error {
	v.recordResponse(t, page)
	before := t.Newest()
	u, ok := t.applyList(page.Rows, page.Position(), time.Now())
	if !ok {
		v.log.Warn("listing is older than the rows of this host", "table", t.name, "version", page.Version, "era", page.Era, "known", before.Version, "known_era", before.Era)
		clock.Sleep(ctx, minRetry)
		return nil
	}
	v.applyRows(t, u)
	if u.restored {
		v.log.Warn("table was listed again after a restoration of the store", "table", t.name, "rows", len(page.Rows),
			"version", page.Version, "era", page.Era, "known", before.Version, "known_era", before.Era)
		v.sharing.OnStoreRows(t, before)
	}
	return nil
}

// recordResponse records what each response of the store tells about the store.
func (v *View) recordResponse(t *Table, page store.Page) {
	v.recordContact(t)
	v.observeEra(page.Era)
	v.observeClock(page, time.Now())
}

// recordReachability records since when the store has not answered this host, and ends an
// outage when it answers again. The time begins with the first failed call, not with the last
// answer: a single failure after a long poll is not an outage of the time that the poll waited.
func (v *View) recordReachability(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	lost := v.StoreUnreachable()
	if lost != v.storeLostAt.IsZero() {
		return
	}
	if lost {
		v.storeLostAt = now
		return
	}
	if v.outage {
		v.endOutage(now, "the store answers again")
	}
	v.storeLostAt = time.Time{}
}

// CheckOutage decides whether the time for which the store has not answered this host is an
// outage of the store, which is kept out of the staleness of weights since no host can roll
// them out meanwhile. Other hosts roll them out if the store answers one of them: this host
// may have been frozen or slow, or its connections may have become silent.
//
// Invariant: no time in which the store answered a responding host that watches it is kept
// out of the staleness, but for the delay of that host's status.
func (v *View) CheckOutage(reachedElsewhere bool, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case v.storeLostAt.IsZero():
	case reachedElsewhere:
		if v.outage {
			v.endOutage(now, "the store answers another host")
		}
		v.storeLostAt = now
	case !v.outage && now.Sub(v.storeLostAt) >= outageConfirmation:
		v.beginOutage(now)
	}
}

func (v *View) beginOutage(now time.Time) {
	v.log.Warn("outage of the store pauses the staleness of weights", "lost_ms", now.Sub(v.storeLostAt).Milliseconds())
	v.outage = true
	for model, w := range v.desired {
		w.StoreLostAt = v.storeLostAt
		v.desired[model] = w
	}
	v.publish()
}

func (v *View) endOutage(now time.Time, reason string) {
	v.log.Info("staleness of weights counts again", "paused_ms", now.Sub(v.storeLostAt).Milliseconds(), "reason", reason)
	v.outage = false
	for model, w := range v.desired {
		v.desired[model] = w.AfterOutage(v.storeLostAt, now)
	}
	v.publish()
}

// observeEra records the era of a response of the store. A higher one means that the store
// was restored from an older copy: entries of targets may be missing until the targets have
// written them again, and the store's clock may have gone back.
func (v *View) observeEra(era uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if era <= v.era {
		return
	}
	if v.era > 0 {
		v.log.Warn("store was restored from an older copy", "era", era, "before", v.era)
		v.storeRecoveredAt = time.Now()
		v.clock = storeclock.Clock{}
		for _, f := range v.restorationListeners {
			f()
		}
	}
	v.era = era
}

// recordContact records the end of an outage, during which entries of targets may
// expire. The hosts are listed only every hostListInterval, which is not an outage.
func (v *View) recordContact(t *Table) {
	last := t.LastContact()
	if t == v.Hosts || last.IsZero() || time.Since(last) < longPollTimeout+outageThreshold {
		return
	}
	v.mu.Lock()
	v.storeRecoveredAt = time.Now()
	v.mu.Unlock()
}
