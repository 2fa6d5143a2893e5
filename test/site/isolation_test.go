package site

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against the cache of an account that others go on using after the operator has
// isolated the account.
func TestCacheOfAccountIsNotSharedOnceItIsIsolated(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	setIsolated := func(school bool) {
		f.updateConfig(func(c object) {
			c["tenants"].([]any)[0].(object)["isolated"] = false // club
			c["tenants"].([]any)[1].(object)["isolated"] = school
		})
	}
	setIsolated(false)
	engine := f.startEngine("engine-1", 2)
	hosts := []*host{f.startHost("host-1"), f.startHost("host-2")}
	// salt returns the salt under which a host lets the engine look for an account's parts.
	salt := func(h *host, key string) string {
		q := promptRequest("/brief/1")
		q.key = key
		f.g.Eventually(func() int { return f.send(h, q).status }, "5s", "20ms").Should(Equal(http.StatusOK))
		runs := engine.Executions()
		return runs[len(runs)-1].Header.Get("X-Cache-Salt")
	}
	shared := salt(hosts[0], schoolKey)
	f.g.Eventually(func() string { return salt(hosts[1], clubKey) }, "3s", "20ms").Should(Equal(shared))
	setIsolated(true)
	for _, h := range hosts {
		f.g.Eventually(func() string { return salt(h, clubKey) }, "3s", "20ms").ShouldNot(Equal(shared))
		f.g.Eventually(func() string { return salt(h, schoolKey) }, "3s", "20ms").ShouldNot(Equal(shared))
	}
	f.g.Expect(salt(hosts[0], clubKey)).To(Equal(salt(hosts[1], clubKey)))
	f.g.Expect(salt(hosts[0], schoolKey)).NotTo(Equal(salt(hosts[0], clubKey)))
}
