package load

import (
	"time"

	"github.com/pkg/errors"
)

// zone is an availability zone with what it holds.
type zone struct {
	name     string
	region   string
	replicas int
	hosts    int
}

// Deployment is the size, the network and the workload of one of the two current
// deployments. Delays are one way.
type Deployment struct {
	Name            string
	zones           []zone
	service         string
	serviceReplicas int
	betweenZones    time.Duration
	betweenRegions  time.Duration
	toCallers       time.Duration
	// linkBytesPerSecond is the capacity of the link between the regions, each way.
	linkBytesPerSecond float64
	// requestsPerSecond keeps the engines at 60 to 70 % when most prompts find their
	// prefix in a cache.
	requestsPerSecond float64
	// manuals is the number of manuals over all accounts. With their sections they
	// take about 60 % of the blocks that all engines hold together.
	manuals int
}

// Delays inside an availability zone are far below those between zones.
const withinZone = 100 * time.Microsecond

// linkRate is 30 Mb/s.
const linkRate = 30e6 / 8

// Costs of the engine stand-ins. Prefill of a whole prompt (about 12,000 tokens)
// takes about half a second and that of a question behind a cached section 25 ms.
const (
	prefillPerToken = 40 * time.Microsecond
	decodePerToken  = 4 * time.Millisecond
	cacheBlocks     = 128
	maxRunning      = 16
	loadLag         = 100 * time.Millisecond
	eventDelay      = 100 * time.Millisecond
	eventLoss       = 0.005
	// streamRetention is short, because each kept stream holds its prompt.
	streamRetention = 2 * time.Second
)

var deployments = []Deployment{
	{
		Name: "inkono", service: "booking", serviceReplicas: 3,
		zones:        []zone{{"kigali-a", "kigali", 4, 3}, {"kigali-b", "kigali", 3, 2}, {"musanze-a", "musanze", 2, 2}},
		betweenZones: 500 * time.Microsecond, betweenRegions: 8 * time.Millisecond, toCallers: 3 * time.Millisecond,
		linkBytesPerSecond: linkRate, requestsPerSecond: 190, manuals: 38,
	},
	{
		Name: "lanna", service: "printing", serviceReplicas: 3,
		zones:        []zone{{"cnx-a", "th-north", 5, 3}, {"cnx-b", "th-north", 5, 2}, {"kkc-a", "th-northeast", 4, 2}},
		betweenZones: 1500 * time.Microsecond, betweenRegions: 8 * time.Millisecond, toCallers: time.Millisecond,
		linkBytesPerSecond: linkRate, requestsPerSecond: 290, manuals: 60,
	},
}

// FindDeployment returns a preset by its name.
func FindDeployment(name string) (Deployment, error) {
	for _, d := range deployments {
		if d.Name == name {
			return d, nil
		}
	}
	return Deployment{}, errors.Errorf("deployment %q is not inkono or lanna", name)
}

func (d *Deployment) replicas() int {
	n := 0
	for _, z := range d.zones {
		n += z.replicas
	}
	return n
}

// account is a client account of the workload.
type account struct {
	id string
	// share is the account's part of the requests and of the manuals.
	share float64
}

// accounts of both deployments: a few large ones and two small ones.
var accounts = []account{
	{"north", 0.36}, {"valley", 0.26}, {"harbour", 0.20}, {"school", 0.11}, {"club", 0.07},
}

// surgeAccount is the index of the account that sends several times its rate in the
// surge scenario.
const surgeAccount = 1
