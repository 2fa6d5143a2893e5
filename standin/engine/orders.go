package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
)

type kvBlock struct {
	Hash     string `json:"hash"`
	Previous string `json:"previous"`
	Content  []byte `json:"content"`
}

type kvTransfer struct {
	// Epoch is that of the engine which the request is sent to.
	Epoch          string    `json:"epoch"`
	CacheSalt      string    `json:"cache_salt"`
	WeightsVersion string    `json:"weights_version"`
	Hashes         []string  `json:"hashes,omitempty"`
	Blocks         []kvBlock `json:"blocks,omitempty"`
}

func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	var request kvTransfer
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		e.reject(w, http.StatusBadRequest, false, "the body is not valid: %v", err)
		return
	}
	e.mu.Lock()
	answer := kvTransfer{Epoch: e.epoch, CacheSalt: request.CacheSalt, WeightsVersion: e.weightsVersion}
	current := request.Epoch == e.epoch
	for _, text := range request.Hashes {
		h, err := prefix.ParseHash(text)
		element, held := e.cache.blocks[h]
		if err != nil || !held {
			continue
		}
		if b := element.Value.(*block); b.seed.String() == request.CacheSalt {
			answer.Blocks = append(answer.Blocks, kvBlock{text, b.previous.String(), e.padded(b.content)})
		}
	}
	e.mu.Unlock()
	if !current {
		e.reject(w, http.StatusConflict, false, "the epoch is over")
		return
	}
	e.transferTime(answer.Blocks)
	writeJSON(w, http.StatusOK, answer)
}

// padded brings a block's content to the size of a KV cache.
func (e *Engine) padded(content []byte) []byte {
	size := e.options.KVBytesPerToken * prefix.BlockBytes / prefix.BytesPerToken
	if size <= len(content) {
		return content
	}
	out := make([]byte, size)
	copy(out, content)
	return out
}

// transferTime waits as long as moving the blocks takes.
func (e *Engine) transferTime(blocks []kvBlock) {
	if e.options.KVBytesPerSecond <= 0 {
		return
	}
	bytes := 0
	for _, b := range blocks {
		bytes += len(b.Content)
	}
	time.Sleep(time.Duration(float64(bytes) / e.options.KVBytesPerSecond * float64(time.Second)))
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
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
	e.transferTime(request.Blocks)
	e.mu.Lock()
	current := request.Epoch == e.epoch && request.WeightsVersion == e.weightsVersion
	imported := 0
	if current {
		imported = e.storeImported(seed, request.Blocks)
	}
	e.mu.Unlock()
	if !current {
		e.reject(w, http.StatusConflict, false, "the epoch or the weights version does not match")
		return
	}
	writeJSON(w, http.StatusOK, map[string]int{"imported": imported, "refused": len(request.Blocks) - imported})
}

// storeImported stores the blocks whose hash follows from the seed. The caller
// holds the mutex.
func (e *Engine) storeImported(seed prefix.BlockHash, blocks []kvBlock) int {
	imported := 0
	for _, b := range blocks {
		previous, err := prefix.ParseHash(b.Previous)
		if err != nil || len(b.Content) < prefix.BlockBytes {
			continue
		}
		parent, held := e.cache.blocks[previous]
		if previous != seed && (!held || parent.Value.(*block).seed != seed) {
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

// Kinds of order.
const (
	orderLoadModel   = "load_model"
	orderLoadAdapter = "load_adapter"
	orderLoadVersion = "load_version"
	orderChangeRole  = "change_role"
)

type orderRequest struct {
	FencingNumber  uint64 `json:"fencing_number"`
	Kind           string `json:"kind"`
	Model          string `json:"model"`
	WeightsVersion string `json:"weights_version"`
	Adapter        string `json:"adapter"`
	Role           string `json:"role"`
}

func (o orderRequest) known() bool {
	switch o.Kind {
	case orderLoadModel, orderLoadAdapter, orderLoadVersion, orderChangeRole:
		return true
	}
	return false
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o orderRequest
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		e.reject(w, http.StatusBadRequest, false, "the body is not valid: %v", err)
		return
	}
	if !o.known() {
		e.reject(w, http.StatusBadRequest, false, "order kind %q is unknown", o.Kind)
		return
	}
	if !e.admitOrder(o) {
		e.reject(w, http.StatusConflict, false, "the fencing number is stale")
		return
	}
	if o.Kind != orderChangeRole && e.options.WeightStore != nil {
		duration := e.options.WeightStore.begin()
		time.Sleep(duration)
		e.options.WeightStore.end()
		if !e.admitOrder(o) { // a newer holder may have ordered meanwhile
			e.reject(w, http.StatusConflict, false, "the fencing number is stale")
			return
		}
	}
	writeJSON(w, http.StatusOK, e.applyOrder(o))
}

// admitOrder checks and remembers the fencing number.
func (e *Engine) admitOrder(o orderRequest) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.ChecksFencing && o.FencingNumber < e.fencing {
		return false
	}
	e.fencing = max(e.fencing, o.FencingNumber)
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
	e.recordLoad()
	return map[string]any{
		"epoch": e.epoch, "weights_version": e.weightsVersion, "role": e.role, "fencing_number": e.fencing,
	}
}
