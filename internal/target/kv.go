package target

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/sequoiaroad/sequoiaroad/policy/config"
)

// KVBlock is a cached block in the form that engines exchange. The content is opaque.
type KVBlock struct {
	Hash     string          `json:"hash"`
	Previous string          `json:"previous"`
	Content  json.RawMessage `json:"content"`
}

// KVTransfer is the body of KV export and import calls. Epoch is the epoch of the
// engine that receives the request; the engine rejects the request if its epoch differs
// or, for an import, its weights version.
type KVTransfer struct {
	Epoch          string    `json:"epoch"`
	CacheSalt      string    `json:"cache_salt"`
	WeightsVersion string    `json:"weights_version"`
	Hashes         []string  `json:"hashes,omitempty"`
	Blocks         []KVBlock `json:"blocks,omitempty"`
}

// ErrKVTooLarge means that an export is larger than the caller allows.
var ErrKVTooLarge = errors.New("the export is too large")

// ExportKV reads cached blocks; blocks that the engine does not hold are left out. It
// also returns the size of the response, which fails with ErrKVTooLarge above maxBytes.
func (c *HTTPEngineClient) ExportKV(ctx context.Context, t *config.Target, request *KVTransfer, maxBytes int) (*KVTransfer, int, error) {
	data, err := c.postJSON(ctx, t, "/v1/kv/export", request, maxBytes)
	if err != nil {
		return nil, len(data), err
	}
	transfer := &KVTransfer{}
	if err := json.Unmarshal(data, transfer); err != nil {
		return nil, len(data), &CallError{Step: StepResponse, Target: t.ID, Status: http.StatusOK, Err: errors.Wrap(err, "decode")}
	}
	return transfer, len(data), nil
}

// ImportKV stores blocks at an engine and returns how many it accepted.
func (c *HTTPEngineClient) ImportKV(ctx context.Context, t *config.Target, request *KVTransfer) (int, error) {
	data, err := c.postJSON(ctx, t, "/v1/kv/import", request, maxReportBytes)
	if err != nil {
		return 0, err
	}
	var response struct {
		Imported int `json:"imported"`
	}
	if err := json.Unmarshal(data, &response); err != nil {
		return 0, &CallError{Step: StepResponse, Target: t.ID, Status: http.StatusOK, Err: errors.Wrap(err, "decode")}
	}
	return response.Imported, nil
}

func (c *HTTPEngineClient) postJSON(ctx context.Context, t *config.Target, path string, body any, maxBytes int) ([]byte, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, &CallError{Step: StepSend, Target: t.ID, NotExecuted: true, Err: err}
	}
	response, err := c.send(ctx, t, http.MethodPost, path, encoded)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, newStatusError(t.ID, response)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, int64(maxBytes)+1))
	if err != nil {
		return data, &CallError{Step: StepResponse, Target: t.ID, Status: response.StatusCode, Err: err}
	}
	if len(data) > maxBytes {
		return data, &CallError{Step: StepResponse, Target: t.ID, Status: response.StatusCode, Err: ErrKVTooLarge}
	}
	return data, nil
}
