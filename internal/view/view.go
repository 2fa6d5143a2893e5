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
	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

const (
	// followWait is how long the store holds a call without changes. It bounds the
	// time until a silent connection is noticed.
	followWait = 4 * time.Second
	// followPause joins changes that come close together into one call.
	followPause = 150 * time.Millisecond
	// minRetry and maxRetry bound the pause after a failed call.
	minRetry = 150 * time.Millisecond
	maxRetry = time.Second
	// hostListInterval is the pause between listings of the hosts. Hosts tell each
	// other of new ones, so that the listing matters after a start only; hostListFirst
	// is the pause after the first one, which may come before others wrote.
	hostListInterval = 15 * time.Second
	hostListFirst    = time.Second
	// returnGrace is how long a target whose entry lapsed while the store was away
	// may take to write it again.
	returnGrace = 2 * time.Second
	// outageAge is the silence of the store from which on its entries may lapse.
	outageAge = 1500 * time.Millisecond
	// restInterval is the pause between looks at whether this host follows the store.
	restInterval = 100 * time.Millisecond
)

// HostTable holds an entry for each host of the system.
const HostTable = "sequoiaroad.hosts"

// Source is the store as followed by a host.
type Source interface {
	List(ctx context.Context, table string) ([]store.Row, uint64, error)
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]store.Row, uint64, error)
}

// Decoder translates rows that the platform wrote. DecodeOperatorRow returns nil values for
// rows that it does not know.
type Decoder struct {
	OperatorTable, TargetTable string
	// ErrCompacted is the error of Changes that asks for a new listing.
	ErrCompacted      error
	DecodeOperatorRow func(key string, value []byte) (*topology.Config, *topology.DesiredWeights, error)
	DecodeTarget      func(id string, value []byte) (*topology.Target, error)
}

// Host is the entry of a host.
type Host struct {
	ID            string `json:"id"`
	Incarnation   string `json:"incarnation"`
	Zone          string `json:"zone"`
	Region        string `json:"region"`
	InnerAddress  string `json:"inner_address"`
	CallerAddress string `json:"caller_address"`
	// Revision is that of the entry in the store; zero if it was not read there.
	Revision uint64 `json:"-" msgpack:"-"`
}

// Snapshot is what a host knows at a moment. It is immutable.
type Snapshot struct {
	// Config is nil until the first configuration is known.
	Config    *topology.Config
	Targets   map[string]*topology.Target
	ByService map[string][]*topology.Target
	Wanted    map[string]topology.DesiredWeights
	Hosts     map[string]Host
}

// View follows the tables of the store.
type View struct {
	source  Source
	decoder Decoder
	log     hclog.Logger

	Operator, Targets, Hosts *Table

	mu       sync.Mutex
	config   *topology.Config
	wanted   map[string]topology.DesiredWeights
	targets  map[string]*topology.Target
	hosts    map[string]Host
	regained time.Time
	// lapsed holds targets whose removal waits until a time.
	lapsed    map[string]time.Time
	snapshot  atomic.Pointer[Snapshot]
	listeners []func(*Snapshot)
	// follows says whether this host follows the store or learns from others that do.
	follows func() bool
	onRows  func(t *Table, after uint64)
}

// New returns a view that knows nothing.
func New(source Source, decoder Decoder, log hclog.Logger) *View {
	v := &View{
		source: source, decoder: decoder, log: log,
		Operator: newTable(decoder.OperatorTable), Targets: newTable(decoder.TargetTable), Hosts: newTable(HostTable),
		wanted: map[string]topology.DesiredWeights{}, targets: map[string]*topology.Target{},
		hosts: map[string]Host{}, lapsed: map[string]time.Time{},
		follows: func() bool { return true }, onRows: func(*Table, uint64) {},
	}
	v.snapshot.Store(&Snapshot{})
	return v
}

// OnChange adds a listener that is called with each new snapshot. It is called
// before Run.
func (v *View) OnChange(f func(*Snapshot)) { v.listeners = append(v.listeners, f) }

// Share lets hosts follow the store for each other. follows says whether this host does;
// onRows is called when the store has changed rows after a version. Share is called
// before Run.
func (v *View) Share(follows func() bool, onRows func(t *Table, after uint64)) {
	v.follows, v.onRows = follows, onRows
}

// Cut reports whether the store does not answer this host.
func (v *View) Cut() bool { return v.Operator.isLost() || v.Targets.isLost() }

// Regained returns when the store answered again after an outage; zero if never.
func (v *View) Regained() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.regained
}

// Snapshot returns what the host knows now.
func (v *View) Snapshot() *Snapshot { return v.snapshot.Load() }

// Run follows all tables until ctx ends.
func (v *View) Run(ctx context.Context) error {
	var running sync.WaitGroup
	for _, t := range []*Table{v.Operator, v.Targets, v.Hosts} {
		running.Go(func() { v.follow(ctx, t) })
	}
	running.Wait()
	return nil
}

func (v *View) follow(ctx context.Context, t *Table) {
	retry := minRetry
	for ctx.Err() == nil {
		if _, listed := t.position(); listed && t != v.Hosts && !v.follows() {
			t.rest(time.Now())
			clock.Sleep(ctx, restInterval)
			continue
		}
		err := v.step(ctx, t)
		switch {
		case err == nil:
			if t.setLost(false) {
				v.log.Info("store answers again", "table", t.name)
			}
			retry = minRetry
		case errors.Is(err, v.decoder.ErrCompacted):
			v.log.Info("store dropped its history; listing again", "table", t.name)
			t.relist()
		default:
			if ctx.Err() == nil && !t.setLost(true) {
				v.log.Warn("store does not answer", "table", t.name, "error", err)
			}
			clock.Sleep(ctx, retry/2+rand.N(retry))
			retry = min(2*retry, maxRetry)
		}
	}
}

// step makes one call and applies its answer.
func (v *View) step(ctx context.Context, t *Table) error {
	cursor, listed := t.position()
	if t == v.Hosts && listed {
		pause := hostListInterval
		if cursor == 0 || len(v.Snapshot().Hosts) <= 1 {
			pause = hostListFirst
		}
		clock.Sleep(ctx, pause)
		listed = false
	}
	if !listed {
		rows, version, err := v.source.List(ctx, t.name)
		if err != nil {
			return err
		}
		v.noteContact(t)
		v.take(t, t.applyList(rows, version, time.Now()))
		return nil
	}
	rows, version, err := v.source.Changes(ctx, t.name, cursor, followWait)
	if err != nil {
		return err
	}
	v.noteContact(t)
	if changed, before := t.applyChanges(rows, version, time.Now()); len(changed) > 0 {
		v.take(t, changed)
		v.onRows(t, before)
	}
	if len(rows) > 0 {
		clock.Sleep(ctx, followPause)
	}
	return nil
}

// noteContact notes the end of an outage, in which entries of targets may lapse. The
// hosts are only listed now and then, so that a pause there is no outage.
func (v *View) noteContact(t *Table) {
	last := t.Contact()
	if t == v.Hosts || last.IsZero() || time.Since(last) < followWait+outageAge {
		return
	}
	v.mu.Lock()
	v.regained = time.Now()
	v.mu.Unlock()
}
