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

// addresses answers the locator. A draining host answers too, without itself.
func (c *call) addresses() error {
	if c.index == nil {
		return c.takesNew()
	}
	if err := c.authenticate(); err != nil {
		return err
	}
	query := c.r.URL.Query()
	prefixKey := query.Get("prefix_hint")
	if prefixKey != "" {
		prefixKey = query.Get("model") + "/" + prefixKey
	}
	addresses := c.locate(prefixKey, query.Get("zone"), true)
	if len(addresses) == 0 {
		return refusal.New(refusal.Overloaded, "no host is available")
	}
	c.writeJSON(http.StatusOK, addressesBody{addresses, c.g.options.LocatorTTL.Milliseconds()})
	return nil
}

// locate orders the addresses of live hosts that are not draining. Hosts that are not
// fresh are named only if no other is known.
func (c *call) locate(prefixKey, zone string, withSelf bool) []string {
	self := c.g.options.View.Self()
	byID := map[string]config.Member{}
	var fresh, stale []placement.Node
	for _, h := range c.g.options.View.Hosts() {
		own := h.Member.HostID == self.HostID
		if own && (!withSelf || c.g.options.Draining()) {
			continue
		}
		if (!h.Live && !own) || h.Draining || h.Member.CallerAddress == "" {
			continue
		}
		byID[h.Member.HostID] = h.Member
		if c.isFresh(h, own) {
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
		addresses = append(addresses, byID[n.ID].CallerAddress)
	}
	return addresses
}

func (c *call) isFresh(h fleet.HostStatus, own bool) bool {
	if own {
		return c.g.options.View.Fresh()
	}
	return h.Fresh
}

func placementNode(m config.Member) placement.Node {
	return placement.Node{ID: m.HostID, Zone: m.Zone, Region: m.Region, Weight: m.Weight}
}

// withAddresses names the other hosts.
func (c *call) withAddresses(r *refusal.Error) *refusal.Error {
	named := *r
	named.Addresses = c.locate("", "", false)
	return &named
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

func (c *call) models() error {
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

func (c *call) health() error {
	c.writeJSON(http.StatusOK, healthBody{"ok"})
	return nil
}

// ready tells whether new requests should come here.
func (c *call) ready() error {
	switch {
	case c.index == nil:
		c.writeJSON(http.StatusServiceUnavailable, healthBody{"no configuration"})
	case c.g.options.Draining():
		c.writeJSON(http.StatusServiceUnavailable, healthBody{"draining"})
	case !c.g.options.View.Fresh():
		c.writeJSON(http.StatusServiceUnavailable, healthBody{"not fresh"})
	default:
		c.writeJSON(http.StatusOK, healthBody{"ready"})
	}
	return nil
}
