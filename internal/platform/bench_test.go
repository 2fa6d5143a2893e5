package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
)

// cannedTransport returns the same body for each request.
type cannedTransport struct{ body []byte }

func (t cannedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Request: r,
		Body: io.NopCloser(bytes.NewReader(t.body)), ContentLength: int64(len(t.body))}, nil
}

// BenchmarkHostList measures a read of the host list without the network, and the size of
// the list, by the number of entries. The design size has 350 hosts and 830 targets.
func BenchmarkHostList(b *testing.B) {
	for _, entries := range []int{23, 118, 350, 1180} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			var list hostsJSON
			for i := range entries {
				list.Hosts = append(list.Hosts, hostJSON{ID: fmt.Sprintf("engine-%04d", i), Role: "target",
					Address: fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250), Zone: "zone-a", State: HostLive})
			}
			body, err := json.Marshal(list)
			if err != nil {
				b.Fatal(err)
			}
			c, err := newClient(Options{BaseURL: "http://10.0.0.1", ReadsPerSecond: 1e9, ReadBurst: 1e9}.withDefaults(), cannedTransport{body})
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Hosts(context.Background()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(body)), "list-bytes")
		})
	}
}
