package config

import (
	"crypto/subtle"
	"strings"
)

// Index provides lookups on one document in constant or near-constant time. It is built
// once per revision.
type Index struct {
	doc       *Document
	accounts  map[string]*Account
	keys      map[KeyHash]*ClientKey
	operators map[KeyHash]*OperatorKey
	models    map[string]*Model
	targets   map[string]*Target
}

// NewIndex indexes a document, which must not change afterwards.
func NewIndex(d *Document) *Index {
	x := &Index{
		doc:       d,
		accounts:  make(map[string]*Account, len(d.Accounts)),
		keys:      make(map[KeyHash]*ClientKey, len(d.ClientKeys)),
		operators: make(map[KeyHash]*OperatorKey, len(d.OperatorKeys)),
		models:    make(map[string]*Model, len(d.Models)),
		targets:   make(map[string]*Target, len(d.Targets)),
	}
	for i := range d.Accounts {
		x.accounts[d.Accounts[i].ID] = &d.Accounts[i]
	}
	for i := range d.ClientKeys {
		x.keys[d.ClientKeys[i].Hash] = &d.ClientKeys[i]
	}
	for i := range d.OperatorKeys {
		x.operators[d.OperatorKeys[i].Hash] = &d.OperatorKeys[i]
	}
	for i := range d.Models {
		x.models[d.Models[i].ID] = &d.Models[i]
	}
	for i := range d.Targets {
		x.targets[d.Targets[i].ID] = &d.Targets[i]
	}
	return x
}

// Document returns the indexed document.
func (x *Index) Document() *Document { return x.doc }

// Account returns the account with the given id, or nil.
func (x *Index) Account(id string) *Account { return x.accounts[id] }

// Model returns the model with the given id, or nil.
func (x *Index) Model(id string) *Model { return x.models[id] }

// Target returns the target with the given id, or nil.
func (x *Index) Target(id string) *Target { return x.targets[id] }

// ClientKey returns the client key with the given clear text, or nil. The map is keyed
// by a hash, so that lookup time reveals nothing about the key, and the final
// comparison takes constant time.
func (x *Index) ClientKey(key string) *ClientKey {
	hash := HashKey(key)
	found := x.keys[hash]
	if found == nil || subtle.ConstantTimeCompare(found.Hash[:], hash[:]) != 1 {
		return nil
	}
	return found
}

// OperatorKey returns the operator key with the given clear text, or nil.
func (x *Index) OperatorKey(key string) *OperatorKey {
	hash := HashKey(key)
	found := x.operators[hash]
	if found == nil || subtle.ConstantTimeCompare(found.Hash[:], hash[:]) != 1 {
		return nil
	}
	return found
}

// Route returns how a call of a plain service is treated: the matching route with the
// longest path prefix, one that names the method before one that does not. Without a
// match the call needs a key and is not idempotent, the safe treatment.
func (x *Index) Route(service, method, path string) Route {
	best := Route{Service: service}
	bestSpecificity := -1
	for _, r := range x.doc.Routes {
		if r.Service != service || !matchesPrefix(path, r.PathPrefix) {
			continue
		}
		if r.Method != "" && r.Method != method {
			continue
		}
		specificity := 2 * len(r.PathPrefix)
		if r.Method != "" {
			specificity++
		}
		if specificity > bestSpecificity {
			best, bestSpecificity = r, specificity
		}
	}
	return best
}

// matchesPrefix matches whole path segments, so that /run does not match /runs.
func matchesPrefix(path, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}
