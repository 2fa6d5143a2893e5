package fleet

import (
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/internal/platform"
	"github.com/sequoiaroad/sequoiaroad/internal/wire"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

// DefaultFreshnessDeadline is the age of evidence at which a host refuses keyed
// requests. Withdrawn keys must stop working within 3 s.
const DefaultFreshnessDeadline = 3 * time.Second

// Intervals and limits of the duties.
const (
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 900 * time.Millisecond
	storeInterval = time.Second
	// outsiderStoreInterval is the time between reads of the store by a host that is no
	// member of a large fleet: with 350 hosts 9 members and 341 others make about 43
	// reads/s.
	outsiderStoreInterval = 10 * time.Second
	// relayedEvidenceBound is the age of evidence above which such a host reads the
	// store as often as a member. It leaves a second before the freshness deadline.
	relayedEvidenceBound = 2 * time.Second
	// storeCheckInterval is the time between looks at whether a read is due.
	storeCheckInterval = 200 * time.Millisecond
	storeTimeout       = 2 * time.Second
	// minStorePause is the least pause between two reads of a slow store.
	minStorePause    = 100 * time.Millisecond
	hostListInterval = 2 * time.Second
	upkeepInterval   = 200 * time.Millisecond
	pushTimeout      = 2 * time.Second
	spreadTimeout    = 2 * time.Second
	// commitTimeout bounds how long a proposer tries to learn the outcome of its
	// write.
	commitTimeout = 6 * time.Second
	// liveWindow covers three probe intervals, so that one lost probe does not make
	// a host look dead.
	liveWindow = 3*probeInterval + 100*time.Millisecond
	// resolveAfter is the age of a pending push, or of a withdrawal that no accepted
	// revision contains, after which a member commits a revision that settles it.
	resolveAfter = 2 * time.Second
	// placeAfter is how long a member leaves a place to the host that is to take it.
	placeAfter = 2 * time.Second
	// removeAfter is the silence after which a member that the host list does not
	// name is removed.
	removeAfter = 5 * time.Second
	// forgetAfter is the silence after which a host that is neither a member nor in
	// the host list is forgotten.
	forgetAfter = time.Minute
	// driftMargin covers the difference between the clock rates of two hosts over
	// one freshness deadline.
	driftMargin = 50 * time.Millisecond
	// MaxMembers bounds the member list, so that a commit stays cheap in a large
	// fleet.
	MaxMembers = 9
	// fullProbeHosts is the number of known hosts up to which every host probes every
	// other. Beyond it a host probes few others and learns about the rest from them.
	fullProbeHosts = 16
	// parentInterval is the time between the probes of a host that is no member to its
	// parent. Evidence passes at most two parents: with the members' probe interval
	// it is less than 1.6 s old, and a lost probe leaves it below the deadline.
	parentInterval = 400 * time.Millisecond
	// backupInterval keeps the connection and the table of a backup parent current.
	backupInterval = 1600 * time.Millisecond
	// randomInterval is the time between probes of a random host, dead ones included,
	// so that the sides of a network partition find each other afterwards.
	randomInterval = 4 * time.Second
	// boundedTick is the time between looks at which probes are due.
	boundedTick = 100 * time.Millisecond
	// suspectAfter is the silence after which a watcher probes a host and declares it
	// dead if that fails. It covers one lost probe of a parent.
	suspectAfter = 2*parentInterval + 100*time.Millisecond
	// backupSuspectAfter leaves the first watcher the time to find out.
	backupSuspectAfter = 2500 * time.Millisecond
	// boundedProbeTimeout bounds a probe in a large fleet, so that a dead host is
	// known everywhere within 2 s.
	boundedProbeTimeout = 500 * time.Millisecond
	// maxParallelCalls bounds the concurrent calls of one duty.
	maxParallelCalls = 32
)

// Options configure a Fleet. HostList may be nil: then hosts are known from the
// member list and from their probes, and silent members are not removed.
type Options struct {
	Self     config.Member
	Store    platform.Store
	HostList platform.HostList
	Caller   wire.Caller
	Registry wire.Registry
	// FreshnessDeadline zero means DefaultFreshnessDeadline.
	FreshnessDeadline time.Duration
	// Clock nil means time.Now. It must return monotonic times.
	Clock func() time.Time
	// Logger may be nil.
	Logger hclog.Logger
	// AllowCrossRegionSnapshot is asked before each piece of a snapshot from a peer in another
	// region; nil allows all.
	AllowCrossRegionSnapshot func(bytes int) bool
	// Seed seeds the jitter; zero means a random seed.
	Seed uint64
}

func (o *Options) complete() error {
	switch {
	case o.Self.HostID == "" || o.Self.Incarnation == "" || o.Self.InnerAddress == "":
		return errors.New("fleet options: Self needs a host id, an incarnation and an inner address")
	case o.Store == nil || o.Caller == nil || o.Registry == nil:
		return errors.New("fleet options: Store, Caller and Registry are needed")
	case o.FreshnessDeadline < 0:
		return errors.New("fleet options: the freshness deadline is negative")
	}
	if o.FreshnessDeadline == 0 {
		o.FreshnessDeadline = DefaultFreshnessDeadline
	}
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	return nil
}

// NewIncarnation returns an incarnation for a starting process. Incarnations of one
// host sort in the order of their creation, as far as its wall clock does.
func NewIncarnation() (string, error) {
	id, err := uuid.NewV7()
	return id.String(), errors.Wrap(err, "new incarnation")
}
