package settings

import "time"

// Deployment holds the settings of a host that come from the settings file of the platform
// it runs on. The flag tag of a field names it in error messages; it is not a flag.
type Deployment struct {
	HostID       string            `flag:"host id" validate:"required"`
	Zone         string            `flag:"zone" validate:"required"`
	Region       string            `flag:"region" validate:"required"`
	RegionOfZone map[string]string `flag:"zones"`

	CallerListen  string `flag:"caller address" validate:"addrport"`
	ReadyListen   string `flag:"ready address" validate:"addrport"`
	InnerListen   string `flag:"inner address" validate:"addrport"`
	LocatorListen string `flag:"locator address" validate:"addrport"`
	// Seeds are inner addresses of hosts to contact before the store is reachable.
	Seeds        []string `flag:"seeds"`
	StoreAddress string   `flag:"store address" validate:"addrport"`

	MemoryBytes    int64 `flag:"memory limit" validate:"min=0"`
	MaxDescriptors int   `flag:"descriptor limit" validate:"min=0"`
	// CPUPercent is the host's share of a processor core in percent; zero if not stated.
	CPUPercent int `flag:"processor share" validate:"min=0"`

	// DrainBound is the time after which a leaving target must receive no requests.
	DrainBound time.Duration `flag:"drain bound" validate:"gt=0"`
	// StopGrace is the time between SIGTERM and SIGKILL.
	StopGrace time.Duration `flag:"stop grace" validate:"gt=0"`
	// ContactTimeout is the time without contact after which a dependency counts as
	// unreachable.
	ContactTimeout time.Duration `flag:"contact time" validate:"gt=0"`

	// Within RetryBudgetWindow, the retries of all hosts stay below RetryBudgetRatio of
	// their requests plus RetryBudgetSlack.
	RetryBudgetRatio  float64       `flag:"retry budget ratio" validate:"min=0"`
	RetryBudgetWindow time.Duration `flag:"retry budget window" validate:"gt=0"`
	RetryBudgetSlack  float64       `flag:"retry budget slack" validate:"min=0"`

	QuotaWindow time.Duration `flag:"quota window" validate:"gt=0"`
	// QuotaSlack is how far an account may exceed its limit within QuotaWindow.
	QuotaSlack float64 `flag:"quota slack" validate:"min=0"`

	LeaseDuration time.Duration `flag:"lease duration" validate:"gt=0"`
	// TargetsCheckFencingTokens is set if targets reject orders with a stale fencing token.
	TargetsCheckFencingTokens bool          `flag:"targets check fence"`
	MaxLocatorTTL             time.Duration `flag:"locator TTL limit" validate:"gt=0"`
	// MaxWeightsStaleness is the time within which targets must serve a newly published
	// weights version.
	MaxWeightsStaleness time.Duration `flag:"weights bound" validate:"min=0"`
}

// Validate returns an *Error that lists every invalid value, or nil.
func (d *Deployment) Validate() error { return validate(d) }
