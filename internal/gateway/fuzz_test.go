package gateway

import (
	"crypto/sha256"
	"net/http"
	"strings"
	"testing"

	"github.com/sequoiaroad/sequoiaroad/internal/dispatch"
	"github.com/sequoiaroad/sequoiaroad/internal/target"
	"github.com/sequoiaroad/sequoiaroad/policy/idempotency"
)

// Guards against a non-idempotent request that is accepted without exactly one valid
// idempotency key, and against two requests that share a record.
func FuzzIdempotencyHeaders(f *testing.F) {
	f.Add("a", "b", "secret", uint8(1))
	f.Fuzz(func(t *testing.T, first, second, secret string, count uint8) {
		header := http.Header{"Authorization": {"Bearer " + secret}}
		values := []string{first, second, first}[:count%4]
		for _, v := range values {
			header.Add(idempotencyKeyHeader, v)
		}
		r := &http.Request{Method: http.MethodPost, Header: header}
		c := &call{r: r, credentials: target.NewCredentials(header, func(s string) bool { return s == secret })}
		key, err := (&serviceCall{call: c}).idempotencyKey()
		if err == nil && (len(values) != 1 || key != first || key == "" || len(key) > maxIdempotencyKeyBytes) {
			t.Fatalf("%q is accepted as the key %q", values, key)
		}
		if err == nil && len(secret) > 16 && strings.Contains(key, secret) {
			t.Fatalf("the key %q contains the caller's credential", key)
		}
		if err == nil && key != second && idempotency.RowKey("a", "s", key) == idempotency.RowKey("a", "s", second) {
			t.Fatalf("%q and %q share a record", key, second)
		}
		if first != "" && idempotency.RowKey(first, second, "k") == idempotency.RowKey("", first+second, "k") {
			t.Fatalf("the accounts %q and \"\" share a record", first)
		}
	})
}

// Guards against an event id that crashes the host, and against one that is accepted for
// another account, another body or another position than it was created for.
func FuzzEventIDs(f *testing.F) {
	f.Add("token:1", "r", "t", "e", 1)
	f.Fuzz(func(t *testing.T, id, request, targetID, epoch string, offset int) {
		own := eventIDs{secret: []byte("secret"), accountID: "a", fingerprint: sha256.Sum256([]byte("body"))}
		if p, ok := own.parse(id); ok {
			t.Fatalf("the invalid id %q is accepted as %+v", id, p)
		}
		position := dispatch.StreamPosition{EngineRequestID: request, TargetID: targetID, Epoch: epoch, Offset: offset}
		made := string(own.appendID(nil, position))
		got, ok := own.parse(made)
		if fits := offset >= 0 && len(made) <= maxEventIDBytes; ok != fits || ok && got != position {
			t.Fatalf("the id of %+v is parsed as %+v, %v", position, got, ok)
		}
		for _, other := range []eventIDs{
			{secret: own.secret, accountID: "b", fingerprint: own.fingerprint},
			{secret: own.secret, accountID: "a", fingerprint: sha256.Sum256([]byte("other"))},
			{secret: []byte("other"), accountID: "a", fingerprint: own.fingerprint},
		} {
			if _, ok := other.parse(made); ok {
				t.Fatalf("the id %q is accepted for another account, body or fleet secret", made)
			}
		}
		if id != "" {
			if p, ok := own.parse(id + made); ok {
				t.Fatalf("the modified id %q is accepted as %+v", id+made, p)
			}
		}
	})
}
