package load

import (
	"time"

	"github.com/pkg/errors"
)

// zone is an availability zone with the numbers of its engines and hosts.
type zone struct {
	name    string
	region  string
	engines int
	hosts   int
}

// Deployment describes the size, the network and the workload of one of the two current
// deployments. Delays are one-way.
type Deployment struct {
	Name             string
	zones            []zone
	service          string
	serviceReplicas  int
	interZoneDelay   time.Duration
	interRegionDelay time.Duration
	callerDelay      time.Duration
	// linkBytesPerSecond is the capacity of the link between the regions in each direction.
	linkBytesPerSecond float64
	// requestsPerSecond gives an engine utilization of 60 to 70 % while most prompts hit a
	// prefix cache.
	requestsPerSecond float64
	// manuals is the number of manuals over all accounts. With their sections they take
	// about 60 % of the total cache capacity of the engines.
	manuals int
}

// intraZoneDelay is far below the delays between zones.
const intraZoneDelay = 100 * time.Microsecond

// linkBytesPerSecond is 30 Mb/s.
const linkBytesPerSecond = 30e6 / 8

// Parameters of the engine stand-ins. Prefill takes about half a second for a whole
// prompt (about 12,000 tokens), and 25 ms for a question after a cached section.
const (
	prefillPerToken = 40 * time.Microsecond
	decodePerToken  = 4 * time.Millisecond
	cacheBlocks     = 128
	maxRunning      = 16
	loadReportAge   = 100 * time.Millisecond
	eventDelay      = 100 * time.Millisecond
	eventLossRate   = 0.005
	// streamRetention is short because each retained stream keeps its prompt in memory.
	streamRetention = 2 * time.Second
)

var deployments = []Deployment{
	{
		Name: "inkono", service: "booking", serviceReplicas: 3,
		zones:          []zone{{"kigali-a", "kigali", 4, 3}, {"kigali-b", "kigali", 3, 2}, {"musanze-a", "musanze", 2, 2}},
		interZoneDelay: 500 * time.Microsecond, interRegionDelay: 8 * time.Millisecond, callerDelay: 3 * time.Millisecond,
		linkBytesPerSecond: linkBytesPerSecond, requestsPerSecond: 190, manuals: 38,
	},
	{
		Name: "lanna", service: "printing", serviceReplicas: 3,
		zones:          []zone{{"cnx-a", "th-north", 5, 3}, {"cnx-b", "th-north", 5, 2}, {"kkc-a", "th-northeast", 4, 2}},
		interZoneDelay: 1500 * time.Microsecond, interRegionDelay: 8 * time.Millisecond, callerDelay: time.Millisecond,
		linkBytesPerSecond: linkBytesPerSecond, requestsPerSecond: 290, manuals: 60,
	},
}

// FindDeployment returns the deployment with the given name.
func FindDeployment(name string) (Deployment, error) {
	for _, d := range deployments {
		if d.Name == name {
			return d, nil
		}
	}
	return Deployment{}, errors.Errorf("deployment %q is not inkono or lanna", name)
}

func (d *Deployment) engineCount() int {
	n := 0
	for _, z := range d.zones {
		n += z.engines
	}
	return n
}

// account is a client account of the workload.
type account struct {
	id string
	// share is the account's fraction of the requests and of the manuals.
	share float64
}

// accounts are the client accounts of both deployments: three large and two small ones.
var accounts = []account{
	{"north", 0.36}, {"valley", 0.26}, {"harbour", 0.20}, {"school", 0.11}, {"club", 0.07},
}

// surgeAccountIndex is the index of the account that sends several times its rate in the
// surge scenario.
const surgeAccountIndex = 1
