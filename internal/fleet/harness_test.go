package fleet

import (
	"context"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/internal/wire"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

// fakeStore is an in-memory table service that simulates outages and lost responses.
type fakeStore struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	version uint64
	reads   int
	down    bool
	// commitResponsesToLose is the number of further commits whose response is lost,
	// whether they take effect or fail with a conflict.
	commitResponsesToLose int
	// beforeCommit is called before each commit, without holding mu.
	beforeCommit func()
}

func newFakeStore() *fakeStore { return &fakeStore{rows: map[string]platform.Row{}} }

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) loseCommitResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commitResponsesToLose = n
}

func (s *fakeStore) setBeforeCommit(hook func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beforeCommit = hook
}

func (s *fakeStore) Get(_ context.Context, table, key string) (platform.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.down {
		return platform.Row{}, platform.ErrUnavailable
	}
	row, ok := s.rows[table+"/"+key]
	if !ok {
		return platform.Row{}, platform.ErrNotFound
	}
	return row, nil
}

func (s *fakeStore) Commit(_ context.Context, conditions []platform.Condition, writes []platform.Write) (uint64, error) {
	s.mu.Lock()
	hook := s.beforeCommit
	s.mu.Unlock()
	if hook != nil {
		hook()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, platform.ErrUnavailable
	}
	for _, c := range conditions {
		if s.rows[c.Table+"/"+c.Key].Version != c.Version {
			if s.commitResponsesToLose > 0 {
				s.commitResponsesToLose--
				return 0, platform.ErrUnknownOutcome
			}
			return 0, platform.ErrConflict
		}
	}
	s.version++
	for _, w := range writes {
		s.rows[w.Table+"/"+w.Key] = platform.Row{Table: w.Table, Key: w.Key, Value: w.Value, Version: s.version}
	}
	if s.commitResponsesToLose > 0 {
		s.commitResponsesToLose--
		return 0, platform.ErrUnknownOutcome
	}
	return s.version, nil
}

func (s *fakeStore) Scan(_ context.Context, table, prefix string, after uint64, limit int) ([]platform.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.down {
		return nil, platform.ErrUnavailable
	}
	var rows []platform.Row
	for _, r := range s.rows {
		if r.Table == table && strings.HasPrefix(r.Key, prefix) && r.Version > after {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return int(a.Version) - int(b.Version) })
	return rows[:min(len(rows), max(limit, 1))], nil
}

// hostStore is one host's access to the store, which fails while the host is isolated.
type hostStore struct {
	platform.Store
	isolated func() bool
}

func (s hostStore) Get(ctx context.Context, table, key string) (platform.Row, error) {
	if s.isolated() {
		return platform.Row{}, platform.ErrUnavailable
	}
	return s.Store.Get(ctx, table, key)
}

func (s hostStore) Commit(ctx context.Context, c []platform.Condition, w []platform.Write) (uint64, error) {
	if s.isolated() {
		return 0, platform.ErrUnavailable
	}
	return s.Store.Commit(ctx, c, w)
}

func (s hostStore) Scan(ctx context.Context, table, prefix string, after uint64, limit int) ([]platform.Row, error) {
	if s.isolated() {
		return nil, platform.ErrUnavailable
	}
	return s.Store.Scan(ctx, table, prefix, after, limit)
}

// fakeHostList is the host list of the cluster.
type fakeHostList struct{ c *cluster }

func (l fakeHostList) Hosts(context.Context) ([]platform.ListedHost, error) {
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	var hosts []platform.ListedHost
	for id, address := range l.c.hostList {
		hosts = append(hosts, platform.ListedHost{ID: id, Role: routerRole, Address: address, State: platform.HostLive})
	}
	return hosts, nil
}

// partitionCaller blocks calls between hosts on different sides of a partition until
// their context ends.
type partitionCaller struct {
	wire.Caller
	c    *cluster
	from string
}

func (p partitionCaller) Call(ctx context.Context, address string, request, reply wire.Message) error {
	if p.c.separated(p.from, address) {
		<-ctx.Done()
		return ctx.Err()
	}
	return p.Caller.Call(ctx, address, request, reply)
}

// cluster runs several hosts in one process that communicate over loopback.
type cluster struct {
	t           testing.TB
	g           *WithT
	store       *fakeStore
	credentials *wire.Credentials

	mu          sync.Mutex
	hostList    map[string]string
	partitioned map[string]bool // by address
	incarnation int
	// zone is the availability zone of hosts that are started from now on.
	zone string
}

// readCount returns the number of reads of the store so far.
func (s *fakeStore) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// host is a running host.
type host struct {
	fleet   *Fleet
	address string
	traffic *wire.Traffic
	stop    func()
}

const testDeadline = 20 * time.Second

func newCluster(t testing.TB) *cluster {
	credentials, err := wire.SecretCredentials([]byte("a shared secret of the fleet"))
	if err != nil {
		t.Fatal(err)
	}
	c := &cluster{t: t, g: NewWithT(t), store: newFakeStore(), credentials: credentials,
		hostList: map[string]string{}, partitioned: map[string]bool{}}
	c.g.Expect(Bootstrap(context.Background(), c.store, initialDocument())).To(Succeed())
	return c
}

func initialDocument() *config.Document {
	return &config.Document{
		Accounts: []config.Account{{ID: "club", RateTokensPerSecond: 100, BurstTokens: 200}},
		ClientKeys: []config.ClientKey{
			{ID: "k1", AccountID: "club", Hash: config.HashKey("one")},
			{ID: "k2", AccountID: "club", Hash: config.HashKey("two")},
		},
	}
}

// separated reports whether exactly one of two addresses is partitioned.
func (c *cluster) separated(a, b string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.partitioned[a] != c.partitioned[b]
}

func (c *cluster) setPartitioned(partitioned bool, hosts ...*host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range hosts {
		c.partitioned[h.address] = partitioned
	}
}

func (c *cluster) removeFromHostList(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.hostList, id)
}

// start runs a host; an empty address selects a free port.
func (c *cluster) start(id, address string) *host {
	c.t.Helper()
	return c.startWith(id, address, func(*Fleet) {})
}

// startWith runs a host. It calls prepare before Run.
func (c *cluster) startWith(id, address string, prepare func(*Fleet)) *host {
	c.t.Helper()
	c.mu.Lock()
	c.incarnation++
	incarnation := fmt.Sprintf("i%04d", c.incarnation)
	c.mu.Unlock()
	if address == "" {
		address = "127.0.0.1:0"
	}
	var bound net.Addr
	traffic := &wire.Traffic{}
	server := wire.NewServer(wire.ServerOptions{
		Self: wire.Peer{HostID: id, Incarnation: incarnation}, Credentials: c.credentials, Traffic: traffic})
	c.g.Eventually(func() (err error) {
		bound, err = server.Listen(address)
		return err
	}, testDeadline).Should(Succeed())
	address = bound.String()
	client := wire.NewClient(wire.ClientOptions{
		Self: wire.Peer{HostID: id, Incarnation: incarnation, Address: address}, Credentials: c.credentials, Traffic: traffic})
	level := hclog.Error
	if os.Getenv("FLEET_TEST_DEBUG") != "" {
		level = hclog.Debug
	}
	f, err := New(Options{
		Self:     config.Member{HostID: id, Incarnation: incarnation, InnerAddress: address, Zone: c.zone},
		Store:    hostStore{c.store, func() bool { return c.isPartitioned(address) }},
		HostList: fakeHostList{c}, Caller: partitionCaller{client, c, address}, Registry: server,
		Logger: hclog.New(&hclog.LoggerOptions{Name: id, Level: level, Output: os.Stderr}),
		Seed:   uint64(c.incarnation),
	})
	c.g.Expect(err).NotTo(HaveOccurred())
	prepare(f)
	c.mu.Lock()
	c.hostList[id] = address
	c.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(ctx) })
	running.Go(func() { _ = f.Run(ctx) })
	stop := sync.OnceFunc(func() {
		cancel()
		client.Close()
		running.Wait()
	})
	c.t.Cleanup(stop)
	return &host{fleet: f, address: address, traffic: traffic, stop: stop}
}

func (c *cluster) isPartitioned(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.partitioned[address]
}

// startHosts runs n hosts and waits until all are members and fresh at the same revision.
func (c *cluster) startHosts(n int) []*host {
	c.t.Helper()
	hosts := make([]*host, n)
	for i := range hosts {
		hosts[i] = c.start(fmt.Sprintf("host-%d", i), "")
	}
	c.awaitAgreement(hosts)
	return hosts
}

// awaitAgreement waits until all hosts are fresh at the same revision, and its members
// are exactly their incarnations.
func (c *cluster) awaitAgreement(hosts []*host) {
	c.t.Helper()
	c.g.Eventually(func() error {
		for _, h := range hosts {
			if !h.fleet.Fresh() {
				return errors.Errorf("%s is not fresh", h.fleet.Self().HostID)
			}
			d := h.fleet.Index().Document()
			if d.Revision != hosts[0].fleet.Index().Document().Revision || len(d.Members) != len(hosts) {
				return errors.Errorf("%s: revision %d with %d members", h.fleet.Self().HostID, d.Revision, len(d.Members))
			}
			if !slices.Contains(d.Members, h.fleet.Self()) {
				return errors.Errorf("%s is not listed", h.fleet.Self().HostID)
			}
		}
		return nil
	}, testDeadline, 20*time.Millisecond).Should(Succeed())
}

// pendingCount returns the number of pending pushes of a host.
func (f *Fleet) pendingCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.PendingCount()
}

func setPreset(preset config.Preset) config.Mutation {
	return func(d *config.Document) error {
		d.Preset = preset
		return nil
	}
}

func withdrawKey(id string) config.Mutation {
	return func(d *config.Document) error {
		d.ClientKeys = slices.DeleteFunc(d.ClientKeys, func(k config.ClientKey) bool { return k.ID == id })
		return nil
	}
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testDeadline)
	t.Cleanup(cancel)
	return ctx
}
