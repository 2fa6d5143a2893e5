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

// fixedResponse answers each request with one body.
type fixedResponse struct{ body string }

func (f fixedResponse) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{
		StatusCode: http.StatusOK, Header: http.Header{}, Request: r, ContentLength: -1,
		Body: io.NopCloser(strings.NewReader(f.body)),
	}, nil
}

// Guards against an engine whose cache events stop the host or break the index: two
// answers are decoded and applied one after the other, and the index must still find
// what is stored next.
func FuzzCacheEvents(f *testing.F) {
	f.Add(`{"epoch":"a","reset":true,"sequence":2,"events":[]}`, `{"epoch":"a","sequence":3,"events":[]}`)
	f.Fuzz(func(t *testing.T, first, second string) {
		index := prefix.NewIndex(64, 1)
		engine := &config.Target{ID: "t1", Kind: config.TargetEngine, URL: "http://127.0.0.1:1"}
		epoch, after := "", uint64(0)
		for _, body := range []string{first, second} {
			client := target.NewWrappedEngineClient(func(http.RoundTripper) http.RoundTripper { return fixedResponse{body} })
			answer, err := client.CacheEvents(context.Background(), engine, epoch, after)
			if err != nil {
				continue
			}
			batch := prefix.Batch{Epoch: answer.Epoch, Reset: answer.Reset, Sequence: answer.Sequence}
			for _, e := range answer.Events {
				batch.Events = append(batch.Events, prefix.Event(e))
			}
			before := epoch
			epoch, after = index.Apply("t1", batch)
			// An answer without an epoch is ignored.
			if epoch != "" && epoch != answer.Epoch && (answer.Epoch != "" || epoch != before) {
				t.Fatalf("the next poll goes on in epoch %q after an answer of epoch %q", epoch, answer.Epoch)
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
