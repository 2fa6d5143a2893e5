package target_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/sequoiaroad/sequoiaroad/internal/target"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
)

// fixedBodyTransport responds to every request with the same body.
type fixedBodyTransport struct{ body string }

func (f fixedBodyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{
		StatusCode: http.StatusOK, Header: http.Header{}, Request: r, ContentLength: -1,
		Body: io.NopCloser(strings.NewReader(f.body)),
	}, nil
}

// Guards against cache events that crash the host or corrupt the index: two responses
// are decoded and applied in turn, and the index must still find blocks that are stored
// later.
func FuzzCacheEvents(f *testing.F) {
	f.Add(`{"epoch":"a","reset":true,"sequence":2,"events":[]}`, `{"epoch":"a","sequence":3,"events":[]}`)
	f.Fuzz(func(t *testing.T, first, second string) {
		index := prefix.NewIndex(64, 1)
		engine := &config.Target{ID: "t1", Kind: config.TargetEngine, URL: "http://127.0.0.1:1"}
		epoch, after := "", uint64(0)
		for _, body := range []string{first, second} {
			client := target.NewWrappedEngineClient(func(http.RoundTripper) http.RoundTripper { return fixedBodyTransport{body} })
			response, err := client.CacheEvents(context.Background(), engine, epoch, after)
			if err != nil {
				continue
			}
			batch := prefix.Batch{Epoch: response.Epoch, Reset: response.Reset, Sequence: response.Sequence}
			for _, e := range response.Events {
				batch.Events = append(batch.Events, prefix.Event(e))
			}
			before := epoch
			epoch, after = index.Apply("t1", batch)
			// A response without an epoch is ignored.
			if epoch != "" && epoch != response.Epoch && (response.Epoch != "" || epoch != before) {
				t.Fatalf("the next poll continues in epoch %q after a response of epoch %q", epoch, response.Epoch)
			}
		}
		chain := prefix.Chain(prefix.Namespace{Model: "m"}.Seed(), make([]byte, 2*prefix.BlockBytes))
		index.SetEpoch("t1", "new epoch", "w")
		index.Stored("t1", "new epoch", chain)
		if found := index.Lookup("w", chain, nil); len(found) != 1 {
			t.Fatalf("the index finds %v after a new epoch", found)
		}
	})
}
