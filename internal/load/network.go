package load

import (
	"context"
	"net/http"
	"net/url"
	"sync"
	"time"
)

// network adds the delays of a deployment to calls over loopback. It adds the delay of
// both directions before a call is sent. The time to the first token is the same as with
// a delay in each direction, and the tokens of a stream need not be delayed one by one.
type network struct {
	deployment *Deployment

	mu    sync.Mutex
	zones map[string]int // zone index by host:port of a target
	links [2]linkState
}

// linkState is one direction of the link between the regions.
type linkState struct {
	freeAt time.Time
	bytes  int64
}

func newNetwork(d *Deployment) *network { return &network{deployment: d, zones: map[string]int{}} }

// setZone records the zone of a target.
func (n *network) setZone(rawURL string, zone int) error {
	u, err := url.Parse(rawURL)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.zones[u.Host] = zone
	n.mu.Unlock()
	return nil
}

// delay returns the network delay of a call between two zones with a body of the given
// size. The link between the regions transmits bodies one after the other.
func (n *network) delay(from, to int, bytes int64) time.Duration {
	a, b := n.deployment.zones[from], n.deployment.zones[to]
	switch {
	case from == to:
		return 2 * intraZoneDelay
	case a.region == b.region:
		return 2 * n.deployment.interZoneDelay
	}
	direction := 0
	if a.region != n.deployment.zones[0].region {
		direction = 1
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now, link := time.Now(), &n.links[direction]
	if link.freeAt.Before(now) {
		link.freeAt = now
	}
	link.freeAt = link.freeAt.Add(time.Duration(float64(bytes) / n.deployment.linkBytesPerSecond * float64(time.Second)))
	link.bytes += bytes
	return 2*n.deployment.interRegionDelay + link.freeAt.Sub(now)
}

// linkBytes returns the bytes of request bodies that crossed the link in both directions.
func (n *network) linkBytes() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[0].bytes + n.links[1].bytes
}

// transportFrom returns a function that wraps the transports of a host in a zone.
func (n *network) transportFrom(zone int) func(http.RoundTripper) http.RoundTripper {
	return func(next http.RoundTripper) http.RoundTripper { return &delayedTransport{n, zone, next} }
}

// delayedTransport delays each request by the network delay to its target.
type delayedTransport struct {
	network *network
	zone    int
	next    http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *delayedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.network.mu.Lock()
	to := t.network.zones[r.URL.Host]
	t.network.mu.Unlock()
	if err := sleep(r.Context(), t.network.delay(t.zone, to, max(0, r.ContentLength))); err != nil {
		return nil, err
	}
	return t.next.RoundTrip(r)
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
