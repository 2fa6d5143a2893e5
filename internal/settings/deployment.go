package settings

import "time"

// Deployment is what a host learns of its place from the platform it runs on.
type Deployment struct {
	HostID       string            `flag:"host id" validate:"required"`
	Zone         string            `flag:"zone" validate:"required"`
	Region       string            `flag:"region" validate:"required"`
	RegionOfZone map[string]string `flag:"zones"`

	CallerListen  string `flag:"caller address" validate:"addrport"`
	ReadyListen   string `flag:"ready address" validate:"addrport"`
	InnerListen   string `flag:"inner address" validate:"addrport"`
	LocatorListen string `flag:"locator address" validate:"addrport"`
	// Seeds are inner addresses of hosts that may be known before the store answers.
	Seeds        []string `flag:"seeds"`
	StoreAddress string   `flag:"store address" validate:"addrport"`

	MemoryBytes    int64 `flag:"memory limit" validate:"min=0"`
	MaxDescriptors int   `flag:"descriptor limit" validate:"min=0"`

	// DrainBound is the time after which a leaving target must get no request.
	DrainBound time.Duration `flag:"drain bound" validate:"gt=0"`
	// StopGrace is the time between SIGTERM and SIGKILL.
	StopGrace time.Duration `flag:"stop grace" validate:"gt=0"`
	// ContactTime is how long a dependency may be silent before it counts as lost.
	ContactTime time.Duration `flag:"contact time" validate:"gt=0"`

	// Within RetryBudgetWindow, repeats of requests stay below RetryBudgetRatio of
	// the requests plus RetryBudgetSlack, over all hosts.
	RetryBudgetRatio  float64       `flag:"retry budget ratio" validate:"min=0"`
	RetryBudgetWindow time.Duration `flag:"retry budget window" validate:"gt=0"`
	RetryBudgetSlack  float64       `flag:"retry budget slack" validate:"min=0"`

	QuotaWindow time.Duration `flag:"quota window" validate:"gt=0"`
	// QuotaSlack is how far an account may exceed its limit within QuotaWindow.
	QuotaSlack float64 `flag:"quota slack" validate:"min=0"`

	LeaseDuration time.Duration `flag:"lease duration" validate:"gt=0"`
	// TargetsCheckFence says that targets refuse orders with an old fencing number.
	TargetsCheckFence bool          `flag:"targets check fence"`
	LocatorTTLMax     time.Duration `flag:"locator TTL limit" validate:"gt=0"`
	// MaxStaleness is the time within which named weights must be in place.
	WeightsBound time.Duration `flag:"weights bound" validate:"min=0"`
}

// Validate returns an *Error that names each wrong value.
func (d *Deployment) Validate() error { return validate(d) }
