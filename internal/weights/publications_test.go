package weights

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/peers"
	"github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/internal/view"
	"github.com/sequoiaroad/sequoiaroad/policy/exchange"
	"github.com/sequoiaroad/sequoiaroad/policy/topology"
)

const model = "model-a"

// publishedStore is a store in which other hosts have recorded that version 2 was published
// some time ago. It counts the reads of the record.
type publishedStore struct {
	age     time.Duration
	started time.Time

	mu    sync.Mutex
	reads int
}

// clock is the store's clock.
func (s *publishedStore) clock() time.Duration { return time.Hour + time.Since(s.started) }

func (s *publishedStore) List(_ context.Context, table string) (platform.Page, error) {
	page := platform.Page{Version: 1, Clock: s.clock()}
	if table == "operator" {
		page.Rows = []platform.Row{{Table: table, Key: "version/" + model, Version: 1}}
	}
	return page, nil
}

func (s *publishedStore) Changes(ctx context.Context, _ string, _ uint64, _ time.Duration) (platform.Page, error) {
	<-ctx.Done()
	return platform.Page{}, ctx.Err()
}

func (s *publishedStore) Get(context.Context, string, string) (platform.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	at := time.Hour - s.age
	return platform.Row{Version: 1, Value: fmt.Appendf(nil, `{"versions":[{"version":2,"clock_ms":%d}]}`, at.Milliseconds())}, nil
}

func (s *publishedStore) Commit(context.Context, []platform.Condition, []platform.Write) (uint64, error) {
	return 0, errors.New("the record needs no change")
}

func (s *publishedStore) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// fleetOf is a fleet of as many other hosts, which come before this one.
type fleetOf struct {
	others int
	hasHub bool
}

func (f fleetOf) Live() []view.Host {
	var out []view.Host
	for i := range f.others {
		out = append(out, view.Host{Host: exchange.Host{ID: fmt.Sprintf("host-%d", i)}})
	}
	return out
}

func (fleetOf) IsJoining() bool { return false }

func (f fleetOf) ReadsForItself() bool { return !f.hasHub }

func (fleetOf) BroadcastEngineNotice(context.Context, *peers.EngineNotice) {}

// startController starts a controller that has just received version 2.
func startController(t *testing.T, s *publishedStore, f fleetOf) *view.View {
	v := view.New(s, view.Decoder{
		OperatorTable: "operator", TargetTable: "targets", ErrCompacted: errors.New("compacted"),
		DecodeOperatorRow: func(string, []byte) (*topology.Config, *topology.DesiredWeights, error) {
			return nil, &topology.DesiredWeights{Model: model, Version: 2}, nil
		},
	}, hclog.NewNullLogger())
	// The view itself reads the record only after a start.
	v.ConfigureSharing(view.Sharing{
		WatchesStore: func() bool { return true }, ListsHosts: func() bool { return true }, ReadsForItself: func() bool { return false },
		OnStoreRows: func(*view.Table, platform.Position) {},
	})
	c := New(Options{HostID: "host-9", Store: s, View: v, Fleet: f, Log: hclog.NewNullLogger(), Clock: time.Now, LeaseDuration: time.Second})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = v.Run(ctx) })
	running.Go(func() { _ = c.Run(ctx) })
	t.Cleanup(func() { cancel(); running.Wait() })
	return v
}

// Guards against a host that takes the time at which it received a version for that of its
// publication: it was frozen when the version was published, is none of the few hosts that
// record it, and has no hub that tells it.
func TestLateHostLearnsTheAgeOfWeights(t *testing.T) {
	g := NewWithT(t)
	for _, others := range []int{0, 2, 6, 30} {
		s := &publishedStore{age: 5 * time.Second, started: time.Now()}
		v := startController(t, s, fleetOf{others: others})
		outdatedFor := func() time.Duration { return v.Snapshot().DesiredWeights[model].OutdatedFor(1, time.Now()) }
		g.Eventually(outdatedFor, "3s", "10ms").Should(BeNumerically(">=", s.age), "%d other hosts", others)
		g.Consistently(s.readCount, "100ms").Should(BeNumerically("<=", 1))
	}
}

// Guards against reads of the store that grow with the fleet, by hosts whose hub tells them
// when weights were published.
func TestMembersOfHubsDoNotReadPublications(t *testing.T) {
	g := NewWithT(t)
	s := &publishedStore{started: time.Now()}
	v := startController(t, s, fleetOf{others: 30, hasHub: true})
	g.Eventually(func() int64 { return v.Snapshot().DesiredWeights[model].Version }, "2s", "10ms").Should(BeEquivalentTo(2))
	g.Consistently(s.readCount, maxComparisonDelay+200*time.Millisecond).Should(BeZero())
}
