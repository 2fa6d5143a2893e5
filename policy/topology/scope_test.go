package topology

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// configWith returns a configuration of accounts, some of which are isolated.
func configWith(names []string, isolated map[string]bool) *Config {
	c := &Config{}
	for _, name := range names {
		c.Accounts = append(c.Accounts, &Account{Name: name, Keys: []string{name}, Isolated: isolated[name]})
	}
	c.Index()
	return c
}

// Guards against cached parts that an account made before it was isolated, or that others
// made meanwhile, and that are shared after accounts were isolated, released and isolated
// again in any order, while some hosts have an older configuration.
func TestNoCacheIsSharedWithIsolatedAccounts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		names := []string{"club", "school", "league"}
		isolated := map[string]bool{}
		var versions []*Config
		makers := map[string]map[string]bool{} // by scope
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			changed := rapid.SampledFrom(names).Draw(rt, "changed")
			isolated[changed] = !isolated[changed]
			versions = append(versions, configWith(names, isolated))
			// Hosts that have the newest version and the one before serve beside each other.
			for _, c := range versions[max(0, len(versions)-2):] {
				for _, name := range names {
					account := c.Account(name)
					scope := c.CacheScope(account)
					for maker := range makers[scope] {
						if maker != name {
							g.Expect(account.Isolated).To(BeFalse(), "%s is isolated and uses what %s made", name, maker)
							g.Expect(c.Account(maker).Isolated).To(BeFalse(), "%s uses what the isolated %s made", name, maker)
						}
					}
					if makers[scope] == nil {
						makers[scope] = map[string]bool{}
					}
					makers[scope][name] = true
				}
			}
		}
	})
}

// Guards against prompts that start cold although no account was isolated: a change of
// anything else keeps the scope, also where the accounts are listed in another order.
func TestCacheScopeDependsOnIsolationAlone(t *testing.T) {
	g := NewWithT(t)
	names := []string{"club", "school", "league"}
	two := map[string]bool{"club": true, "school": true}
	one, other := configWith(names, two), configWith([]string{"league", "school", "club", "new"}, two)
	g.Expect(one.CacheScope(one.Account("league"))).To(Equal(other.CacheScope(other.Account("new"))))
	g.Expect(one.CacheScope(nil)).To(Equal(one.CacheScope(one.Account("league"))), "public routes")
	none := configWith(names, nil)
	g.Expect(none.CacheScope(none.Account("club"))).To(BeEmpty())
	g.Expect(one.CacheScope(one.Account("club"))).NotTo(Equal(one.CacheScope(one.Account("school"))))
}
