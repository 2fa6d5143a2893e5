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

// DefaultFreshnessDeadline is the age of evidence at which a host refuses requests that
// need an API key. Withdrawn keys must stop working within 3 s.
const DefaultFreshnessDeadline = 3 * time.Second

// Intervals and limits of the background tasks.
const (
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 900 * time.Millisecond
	storeInterval = time.Second
	// nonMemberStoreInterval is the time between reads of the store by a non-member in a
	// large fleet: with 350 hosts, 9 members and 341 others make about 43 reads/s.
	nonMemberStoreInterval = 10 * time.Second
	// maxRelayedEvidenceAge is the age of evidence above which a non-member reads the
	// store as often as a member. It leaves a second before the freshness deadline.
	maxRelayedEvidenceAge = 2 * time.Second
	// storeCheckInterval is the time between checks whether a read is due.
	storeCheckInterval = 200 * time.Millisecond
	storeTimeout       = 2 * time.Second
	// minStorePause is the shortest pause between two reads of a slow store.
	minStorePause     = 100 * time.Millisecond
	hostListInterval  = 2 * time.Second
	reconcileInterval = 200 * time.Millisecond
	pushTimeout       = 2 * time.Second
	broadcastTimeout  = 2 * time.Second
	// commitTimeout bounds how long a proposer tries to determine the outcome of its
	// write.
	commitTimeout = 6 * time.Second
	// liveWindow covers three probe intervals, so that a host still counts as live after
	// one lost probe.
	liveWindow = 3*probeInterval + 100*time.Millisecond
	// resolveAfter is the age of a pending push, or of a withdrawal that no accepted
	// revision contains, after which a member commits a revision that resolves it.
	resolveAfter = 2 * time.Second
	// memberTakeoverAfter is how long a member waits for a host to add itself to the
	// member list before the member adds it.
	memberTakeoverAfter = 2 * time.Second
	// removeMemberAfter is the time without a reply after which a member that is not in
	// the host list is removed.
	removeMemberAfter = 5 * time.Second
	// expirePeerAfter is the time without a reply after which the entry of a host that
	// is neither a member nor in the host list is deleted.
	expirePeerAfter = time.Minute
	// clockDriftMargin covers the difference between the clock rates of two hosts over
	// one freshness deadline.
	clockDriftMargin = 50 * time.Millisecond
	// MaxMembers bounds the member list, so that a commit stays cheap in a large
	// fleet.
	MaxMembers = 9
	// maxFullMeshHosts is the number of known hosts up to which every host probes every
	// other. In a larger fleet, a host probes few others and receives the state of the
	// rest from them by gossip.
	maxFullMeshHosts = 16
	// parentProbeInterval is the time between a non-member's probes of its parent.
	// Evidence passes at most two parents: with the members' probe interval it is less
	// than 1.6 s old, and stays below the deadline after one lost probe.
	parentProbeInterval = 400 * time.Millisecond
	// backupProbeInterval keeps the connection and the table of a backup parent current.
	backupProbeInterval = 1600 * time.Millisecond
	// randomProbeInterval is the time between probes of a random host, dead ones included,
	// so that the sides of a network partition reconnect afterwards.
	randomProbeInterval = 4 * time.Second
	// gossipTick is the time between checks for due probes.
	gossipTick = 100 * time.Millisecond
	// suspectAfter is the time without contact after which a monitor probes a host and
	// marks it as dead if the probe fails. It covers one lost probe of a parent.
	suspectAfter = 2*parentProbeInterval + 100*time.Millisecond
	// backupSuspectAfter gives the primary monitor time to detect the failure first.
	backupSuspectAfter = 2500 * time.Millisecond
	// gossipProbeTimeout bounds a probe in a large fleet, so that the record of a dead
	// host reaches all hosts within 2 s.
	gossipProbeTimeout = 500 * time.Millisecond
	// maxParallelCalls bounds the concurrent calls of one background task.
	maxParallelCalls = 32
)

// Options configure a Fleet. HostList may be nil: hosts are then discovered only from
// the member list and from their probes, and unresponsive members are not removed.
type Options struct {
	Self     config.Member
	Store    platform.Store
	HostList platform.HostList
	Caller   wire.Caller
	Registry wire.Registry
	// FreshnessDeadline defaults to DefaultFreshnessDeadline.
	FreshnessDeadline time.Duration
	// Clock returns monotonic times; it defaults to time.Now.
	Clock func() time.Time
	// Logger may be nil.
	Logger hclog.Logger
	// AllowCrossRegionSnapshot is called before each chunk of a snapshot is fetched from a
	// peer in another region, and returns whether the chunk may be fetched now. nil
	// allows all.
	AllowCrossRegionSnapshot func(bytes int) bool
	// Seed seeds the jitter; zero means a random seed.
	Seed uint64
}

// validateAndSetDefaults checks the required options and sets defaults for the others.
func (o *Options) validateAndSetDefaults() error {
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

// NewIncarnation returns an incarnation for a starting process. The incarnations of a
// host sort in order of creation, unless its wall clock is set back.
func NewIncarnation() (string, error) {
	id, err := uuid.NewV7()
	return id.String(), errors.Wrap(err, "new incarnation")
}
