package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
)

// kvBlock is a block of a KV cache in an export or import.
type kvBlock struct {
	Hash     string `json:"hash"`
	Previous string `json:"previous"`
	Content  []byte `json:"content"`
}

// kvTransfer is the body of export requests and responses and of import requests.
type kvTransfer struct {
	// Epoch is the epoch of the engine that receives the request or sends the response.
	Epoch          string    `json:"epoch"`
	CacheSalt      string    `json:"cache_salt"`
	WeightsVersion string    `json:"weights_version"`
	Hashes         []string  `json:"hashes,omitempty"`
	Blocks         []kvBlock `json:"blocks,omitempty"`
}

func (e *Engine) handleKVExport(w http.ResponseWriter, r *http.Request) {
	var request kvTransfer
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		e.reject(w, http.StatusBadRequest, false, "the body is not valid: %v", err)
		return
	}
	e.mu.Lock()
	response := kvTransfer{Epoch: e.epoch, CacheSalt: request.CacheSalt, WeightsVersion: e.weightsVersion}
	epochMatches := request.Epoch == e.epoch
	for _, hashText := range request.Hashes {
		h, err := prefix.ParseHash(hashText)
		element, cached := e.cache.blocks[h]
		if err != nil || !cached {
			continue
		}
		if b := element.Value.(*block); b.seed.String() == request.CacheSalt {
			response.Blocks = append(response.Blocks, kvBlock{hashText, b.previous.String(), e.padContent(b.content)})
		}
	}
	e.mu.Unlock()
	if !epochMatches {
		e.reject(w, http.StatusConflict, false, "the epoch is over")
		return
	}
	e.simulateTransfer(response.Blocks)
	writeJSON(w, http.StatusOK, response)
}

// padContent pads a block's content to the size of its KV cache.
func (e *Engine) padContent(content []byte) []byte {
	size := e.options.KVBytesPerToken * prefix.BlockBytes / prefix.BytesPerToken
	if size <= len(content) {
		return content
	}
	out := make([]byte, size)
	copy(out, content)
	return out
}

// simulateTransfer sleeps for the time that the transfer of the blocks takes.
func (e *Engine) simulateTransfer(blocks []kvBlock) {
	if e.options.KVBytesPerSecond <= 0 {
		return
	}
	bytes := 0
	for _, b := range blocks {
		bytes += len(b.Content)
	}
	time.Sleep(time.Duration(float64(bytes) / e.options.KVBytesPerSecond * float64(time.Second)))
}

func (e *Engine) handleKVImport(w http.ResponseWriter, r *http.Request) {
	var request kvTransfer
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		e.reject(w, http.StatusBadRequest, false, "the body is not valid: %v", err)
		return
	}
	seed, err := prefix.ParseHash(request.CacheSalt)
	if err != nil {
		e.reject(w, http.StatusBadRequest, false, "%v", err)
		return
	}
	e.simulateTransfer(request.Blocks)
	e.mu.Lock()
	stateMatches := request.Epoch == e.epoch && request.WeightsVersion == e.weightsVersion
	imported := 0
	if stateMatches {
		imported = e.storeImported(seed, request.Blocks)
	}
	e.mu.Unlock()
	if !stateMatches {
		e.reject(w, http.StatusConflict, false, "the epoch or the weights version does not match")
		return
	}
	writeJSON(w, http.StatusOK, map[string]int{"imported": imported, "refused": len(request.Blocks) - imported})
}

// storeImported stores the blocks whose hash matches their content and whose
// predecessor is the seed or a cached block of the same seed. It returns their number.
// The caller holds the mutex.
func (e *Engine) storeImported(seed prefix.BlockHash, blocks []kvBlock) int {
	imported := 0
	for _, b := range blocks {
		previous, err := prefix.ParseHash(b.Previous)
		if err != nil || len(b.Content) < prefix.BlockBytes {
			continue
		}
		parent, cached := e.cache.blocks[previous]
		if previous != seed && (!cached || parent.Value.(*block).seed != seed) {
			continue
		}
		content := b.Content[:prefix.BlockBytes:prefix.BlockBytes]
		chain := prefix.Chain(previous, content)
		if chain[0].String() != b.Hash {
			continue
		}
		e.cache.store(&block{chain[0], previous, seed, content}, time.Now())
		imported++
	}
	return imported
}

// The kinds of orders.
const (
	orderLoadModel   = "load_model"
	orderLoadAdapter = "load_adapter"
	orderLoadVersion = "load_version"
	orderChangeRole  = "change_role"
)

type orderRequest struct {
	FencingToken   uint64 `json:"fencing_number"`
	Kind           string `json:"kind"`
	Model          string `json:"model"`
	WeightsVersion string `json:"weights_version"`
	Adapter        string `json:"adapter"`
	Role           string `json:"role"`
}

func (o orderRequest) validKind() bool {
	switch o.Kind {
	case orderLoadModel, orderLoadAdapter, orderLoadVersion, orderChangeRole:
		return true
	}
	return false
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o orderRequest
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		e.reject(w, http.StatusBadRequest, false, "the body is not valid: %v", err)
		return
	}
	if !o.validKind() {
		e.reject(w, http.StatusBadRequest, false, "order kind %q is unknown", o.Kind)
		return
	}
	if !e.checkFencing(o) {
		e.reject(w, http.StatusConflict, false, "the fencing number is stale")
		return
	}
	if o.Kind != orderChangeRole && e.options.WeightStore != nil {
		duration := e.options.WeightStore.beginLoad()
		time.Sleep(duration)
		e.options.WeightStore.endLoad()
		if !e.checkFencing(o) { // a newer lease holder may have sent an order meanwhile
			e.reject(w, http.StatusConflict, false, "the fencing number is stale")
			return
		}
	}
	writeJSON(w, http.StatusOK, e.applyOrder(o))
}

// checkFencing reports whether the fencing token of an order is accepted, and records it if
// it is.
func (e *Engine) checkFencing(o orderRequest) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.ChecksFencing && o.FencingToken < e.highestFencingToken {
		return false
	}
	e.highestFencingToken = max(e.highestFencingToken, o.FencingToken)
	return true
}

func (e *Engine) applyOrder(o orderRequest) any {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counters.Orders++
	switch o.Kind {
	case orderLoadModel:
		e.models[o.Model] = true
	case orderLoadAdapter:
		e.adapters[o.Adapter] = true
	case orderLoadVersion:
		if o.WeightsVersion != "" && o.WeightsVersion != e.weightsVersion {
			e.weightsVersion = o.WeightsVersion
			e.cache.clear(time.Now())
		}
	case orderChangeRole:
		e.role = o.Role
	}
	e.recordLoadReport()
	return map[string]any{
		"epoch": e.epoch, "weights_version": e.weightsVersion, "role": e.role, "fencing_number": e.highestFencingToken,
	}
}
