// Package prefix computes block hash chains of prompts and keeps an index of the blocks
// that targets hold in their caches.
package prefix

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/pkg/errors"
)

const (
	// BlockBytes is the prompt length of one block, about 1,000 tokens.
	BlockBytes = 4000
	// BytesPerToken estimates tokens from prompt bytes.
	BytesPerToken = 4
	// HashBytes is the length of a block hash. 128 bits keep collisions out of
	// reach of a client account that crafts prompts.
	HashBytes = 16
)

// BlockHash identifies a block and, through the chain, everything before it.
type BlockHash [HashBytes]byte

// String returns the hash as hexadecimal digits.
func (h BlockHash) String() string { return hex.EncodeToString(h[:]) }

// ParseHash parses the result of BlockHash.String.
func ParseHash(text string) (BlockHash, error) {
	var h BlockHash
	if hex.DecodedLen(len(text)) != HashBytes {
		return h, errors.Errorf("block hash %q does not have %d hexadecimal digits", text, 2*HashBytes)
	}
	_, err := hex.Decode(h[:], []byte(text))
	return h, errors.Wrap(err, "parse block hash")
}

// Namespace is what cached blocks depend on besides the prompt. Blocks of different
// namespaces never share a hash.
type Namespace struct {
	AccountID      string
	Model          string
	WeightsVersion string
	// Adapter is empty for the base model.
	Adapter string
}

// Seed returns the start of the hash chain. Engines receive it as cache_salt.
func (n Namespace) Seed() BlockHash {
	h := sha256.New()
	for _, part := range []string{n.AccountID, n.Model, n.WeightsVersion, n.Adapter} {
		sum := sha256.Sum256([]byte(part)) // fixed length, so that parts can't be confused
		h.Write(sum[:])
	}
	var seed BlockHash
	copy(seed[:], h.Sum(nil))
	return seed
}

// Chain returns the hashes of all full blocks of a prompt.
func Chain(seed BlockHash, prompt []byte) []BlockHash {
	hashes := make([]BlockHash, 0, len(prompt)/BlockBytes)
	previous := seed
	buffer := make([]byte, HashBytes+BlockBytes)
	for len(prompt) >= BlockBytes {
		copy(buffer, previous[:])
		copy(buffer[HashBytes:], prompt[:BlockBytes])
		sum := sha256.Sum256(buffer)
		copy(previous[:], sum[:])
		hashes = append(hashes, previous)
		prompt = prompt[BlockBytes:]
	}
	return hashes
}

// Message is a chat message of a canonical prompt.
type Message struct {
	Role    string
	Content string
}

// ChatPrompt returns the canonical prompt bytes of a chat. Routers and engines must
// agree on them, since cache events refer to their blocks.
func ChatPrompt(messages []Message) []byte {
	var prompt []byte
	for _, m := range messages {
		prompt = append(prompt, m.Role...)
		prompt = append(prompt, '\n')
		prompt = append(prompt, m.Content...)
		prompt = append(prompt, '\n')
	}
	return prompt
}

// Tokens estimates the number of tokens of a prompt from its length in bytes.
func Tokens(bytes int) int { return (bytes + BytesPerToken - 1) / BytesPerToken }
