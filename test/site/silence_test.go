package site

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	standin "github.com/sequoiaroad/sequoiaroad/standin/site"
)

// Guards against a change of the configuration that no host receives because the
// connections to the store have become silent, so that a withdrawn key goes on working.
func TestConfigChangeArrivesAfterConnectionsToStoreBecomeSilent(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.startDesk("desk-1")
	hosts := []*host{f.startHost("host-1"), f.startHost("host-2")}
	key := clubKey
	for _, nextKey := range []string{"key-2", "key-3"} {
		// The last response restarts the long polls of all hosts at the same time.
		f.updateConfig(func(object) {})
		time.Sleep(500 * time.Millisecond)
		silentSince := time.Now()
		for _, h := range hosts {
			h.storeLink.Silence()
		}
		f.updateConfig(func(c object) { c["tenants"].([]any)[0].(object)["api_keys"] = []any{nextKey} })
		for _, h := range hosts {
			status := func() int { return f.send(h, request{method: "GET", uri: "/status/1", key: key}).status }
			f.g.Eventually(status, standin.ContactTime-time.Since(silentSince), "20ms").Should(Equal(http.StatusUnauthorized))
		}
		key = nextKey
	}
}
