package site

import (
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	standin "github.com/sequoiaroad/sequoiaroad/standin/site"
)

// Guards against entries of another writer among those of the targets that end the host,
// stop it from following the table, or receive requests.
func TestOddEntriesAmongTargetsAreIgnored(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.startDesk("desk-1")
	h := f.startHost("host-1")
	entry := func(address, slots, started string) []byte {
		return []byte(`{"service":"desk","address":` + address + `,"zone":"zone-a","version":"v1","state":"ready","seq":1,"cold_left_ms":0,"slots":` + slots + `,"born":` + started + `}`)
	}
	const deep = 30_000 // two bytes a level, within the store's row size
	odd := map[string][]byte{
		"nested":       []byte(strings.Repeat("[", deep) + strings.Repeat("]", deep)),
		"nested-field": []byte(`{"service":` + strings.Repeat(`{"a":`, deep/6) + "1" + strings.Repeat("}", deep/6) + "}"),
		"unclosed":     []byte(strings.Repeat(`{"a":`, deep/6)),
		"slots":        entry(`"127.0.0.1:1"`, "1e400", "1"),
		"many-slots":   entry(`"127.0.0.1:1"`, "99999999999999999999", "1"),
		"negative":     entry(`"127.0.0.1:1"`, "-8", "1"),
		"born":         entry(`"127.0.0.1:1"`, "8", "1e30"),
		"port":         entry(`"127.0.0.1:99999"`, "8", "1"),
		"no-port":      entry(`"127.0.0.1"`, "8", "1"),
		"port-zero":    entry(`"127.0.0.1:0"`, "8", "1"),
		"name":         entry(`"somewhere.example:80"`, "8", "1"),
		"path":         entry(`"127.0.0.1:1/x?y"`, "8", "1"),
		"id\nwith\r":   entry(`"127.0.0.1:1"`, "8", "1"),
		"incomplete":   []byte(`{"service":"desk","address":"127.0.0.1:1","zone":"zone-a","state":"ready"}`),
		"no-warm-up":   []byte(`{"service":"desk","address":"127.0.0.1:1","zone":"zone-a","version":"v1","state":"ready","seq":1,"slots":8,"born":1}`),
		"binary":       {0xff, 0xfe, 0x00},
		"empty":        {},
	}
	for id, value := range odd {
		f.store.Put("servers", id, value)
	}
	time.Sleep(400 * time.Millisecond)
	for range 40 {
		f.g.Expect(f.send(h, request{method: "POST", uri: "/order/1", key: clubKey}).status).To(Equal(http.StatusOK))
	}
	f.store.Delete("servers", "desk-1")
	desk2 := f.startDesk("desk-2")
	f.g.Eventually(func() int {
		f.send(h, request{method: "POST", uri: "/order/1", key: clubKey})
		return len(desk2.Executions())
	}, standin.ConfigDeadline, "5ms").Should(BeNumerically(">", 0))
	for id := range odd {
		f.g.Expect(h.log.String()).NotTo(MatchRegexp(`target changed.*"target":"` + strings.Fields(id)[0]))
	}
}
