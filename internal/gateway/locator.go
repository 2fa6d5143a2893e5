package gateway

import (
	"net/http"

	"github.com/sequoiaroad/sequoiaroad/internal/fleet"
	"github.com/sequoiaroad/sequoiaroad/internal/refusal"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/placement"
)

type addressesBody struct {
	Addresses []string `json:"addresses"`
	TTLMs     int64    `json:"ttl_ms"`
}

// serveAddresses serves the locator: the addresses of hosts for the caller, best first. A
// draining host also serves it, but omits itself.
func (c *call) serveAddresses() error {
	if c.index == nil {
		return c.checkAccepting()
	}
	if err := c.authenticate(); err != nil {
		return err
	}
	query := c.r.URL.Query()
	prefixKey := query.Get("prefix_hint")
	if prefixKey != "" {
		prefixKey = query.Get("model") + "/" + prefixKey
	}
	addresses := c.locateHosts(prefixKey, query.Get("zone"), true)
	if len(addresses) == 0 {
		return refusal.New(refusal.Overloaded, "no host is available")
	}
	c.writeJSON(http.StatusOK, addressesBody{addresses, c.gateway.options.LocatorTTL.Milliseconds()})
	return nil
}

// locateHosts returns the addresses of live hosts that are not draining, best first. It
// returns hosts that are not fresh only if no host is fresh.
func (c *call) locateHosts(prefixKey, zone string, includeSelf bool) []string {
	self := c.gateway.options.View.Self()
	members := map[string]config.Member{}
	var fresh, stale []placement.Node
	for _, h := range c.gateway.options.View.Hosts() {
		isSelf := h.Member.HostID == self.HostID
		if isSelf && (!includeSelf || c.gateway.options.Draining()) {
			continue
		}
		if (!h.Live && !isSelf) || h.Draining || h.Member.CallerAddress == "" {
			continue
		}
		members[h.Member.HostID] = h.Member
		if c.isFresh(h, isSelf) {
			fresh = append(fresh, placementNode(h.Member))
		} else {
			stale = append(stale, placementNode(h.Member))
		}
	}
	if len(fresh) == 0 {
		fresh = stale
	}
	addresses := make([]string, 0, len(fresh))
	for _, n := range placement.Locate(c.accountID(), prefixKey, zone, fresh) {
		addresses = append(addresses, members[n.ID].CallerAddress)
	}
	return addresses
}

func (c *call) isFresh(h fleet.HostStatus, isSelf bool) bool {
	if isSelf {
		return c.gateway.options.View.Fresh()
	}
	return h.Fresh
}

func placementNode(m config.Member) placement.Node {
	return placement.Node{ID: m.HostID, Zone: m.Zone, Region: m.Region, Weight: m.Weight}
}

// withOtherHosts returns a copy of the refusal with the addresses of the other hosts.
func (c *call) withOtherHosts(r *refusal.Error) *refusal.Error {
	withAddresses := *r
	withAddresses.Addresses = c.locateHosts("", "", false)
	return &withAddresses
}

type modelsBody struct {
	Object string      `json:"object"`
	Data   []modelBody `json:"data"`
}

type modelBody struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (c *call) serveModels() error {
	if err := c.admit(); err != nil {
		return err
	}
	body := modelsBody{Object: "list", Data: []modelBody{}}
	for _, m := range c.index.Document().Models {
		body.Data = append(body.Data, modelBody{m.ID, "model", "sequoiaroad"})
	}
	c.writeJSON(http.StatusOK, body)
	return nil
}

type healthBody struct {
	Status string `json:"status"`
}

func (c *call) serveHealth() error {
	c.writeJSON(http.StatusOK, healthBody{"ok"})
	return nil
}

// serveReady reports whether this host should receive new requests.
func (c *call) serveReady() error {
	switch {
	case c.index == nil:
		c.writeJSON(http.StatusServiceUnavailable, healthBody{"no configuration"})
	case c.gateway.options.Draining():
		c.writeJSON(http.StatusServiceUnavailable, healthBody{"draining"})
	case !c.gateway.options.View.Fresh():
		c.writeJSON(http.StatusServiceUnavailable, healthBody{"not fresh"})
	default:
		c.writeJSON(http.StatusOK, healthBody{"ready"})
	}
	return nil
}
