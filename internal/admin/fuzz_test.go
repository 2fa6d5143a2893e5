package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/sequoiaroad/sequoiaroad/internal/fleet"
	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

const fuzzOperatorKey = "operator key of the fuzz target"

// fuzzFleet holds one document and accepts every valid change.
type fuzzFleet struct {
	fleet.View
	fleet.Proposer
	document *config.Document
}

func (f *fuzzFleet) Index() *config.Index { return config.NewIndex(f.document) }

func (f *fuzzFleet) Propose(_ context.Context, mutate config.Mutation, _ fleet.ProposeOptions) (fleet.PropagationStatus, error) {
	next, err := f.document.Next(mutate, config.ChangeRecord{Operator: "o", Summary: "s", At: time.Unix(1, 0), AttemptID: "a"})
	if err != nil {
		return fleet.PropagationStatus{}, err
	}
	f.document = next
	return fleet.PropagationStatus{Revision: next.Revision}, nil
}

// fuzzCalls are the calls that take a body and change only the configuration.
var fuzzCalls = []struct{ method, path string }{
	{http.MethodPut, "/admin/v1/configuration?expected_revision=1"},
	{http.MethodPost, "/admin/v1/configuration/validate"},
	{http.MethodPut, "/admin/v1/accounts/club"},
	{http.MethodPost, "/admin/v1/keys"},
	{http.MethodPost, "/admin/v1/operator-keys"},
	{http.MethodPut, "/admin/v1/routes"},
	{http.MethodPut, "/admin/v1/models/m1"},
	{http.MethodPut, "/admin/v1/targets/t1"},
	{http.MethodPut, "/admin/v1/preset"},
}

// Guards against a request body that crashes the host, causes an internal error, removes
// the last operator key with role admin or commits an invalid configuration.
func FuzzBodies(f *testing.F) {
	f.Add(uint8(2), `{"rate_tokens_per_second":10,"burst_tokens":20}`)
	f.Fuzz(func(t *testing.T, callIndex uint8, body string) {
		fake := &fuzzFleet{document: &config.Document{
			Revision:     1,
			Accounts:     []config.Account{{ID: "club", RateTokensPerSecond: 100, BurstTokens: 200}},
			OperatorKeys: []config.OperatorKey{{ID: "first", Hash: config.HashKey(fuzzOperatorKey), Role: config.RoleAdmin}},
		}}
		if err := fake.document.Validate(); err != nil {
			t.Fatal(err)
		}
		server := NewServer(Options{View: fake, Proposer: fake, Logger: hclog.NewNullLogger()})
		call := fuzzCalls[int(callIndex)%len(fuzzCalls)]
		request := httptest.NewRequest(call.method, call.path, strings.NewReader(body))
		request.Header.Set("Authorization", "Bearer "+fuzzOperatorKey)
		response := httptest.NewRecorder()
		server.ServeHTTP(response, request)
		if response.Code == http.StatusInternalServerError || !json.Valid(response.Body.Bytes()) {
			t.Fatalf("%s %s with %q: %d %s", call.method, call.path, body, response.Code, response.Body)
		}
		encoded, err := fake.document.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := config.Decode(encoded); err != nil {
			t.Fatalf("%s %s with %q: the document is invalid: %v", call.method, call.path, body, err)
		}
		if !hasAdmin(fake.document.OperatorKeys) {
			t.Fatalf("%s %s with %q: no operator key with role admin is left", call.method, call.path, body)
		}
	})
}
