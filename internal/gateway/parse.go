package gateway

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"io"
	"strings"

	"github.com/sequoiaroad/sequoiaroad/internal/refusal"
	"github.com/sequoiaroad/sequoiaroad/internal/target"
	"github.com/sequoiaroad/sequoiaroad/policy/prefix"
)

// maxOutputTokens is the largest max_tokens that a caller may set, which bounds the tokens
// that one request reserves.
const maxOutputTokens = 1 << 20

// completionRequest is the validated body of a completion request.
type completionRequest struct {
	chat         bool
	model        string
	stream       bool
	includeUsage bool
	prompt       []byte
	maxTokens    int
	body         map[string]any
	// fingerprint is a hash of the body. A caller that resumes a stream must send the same
	// body.
	fingerprint [sha256.Size]byte
}

func invalidRequest(format string, args ...any) error {
	return refusal.New(refusal.InvalidRequest, format, args...)
}

// unsupportedFields lists request fields whose results a stream of text tokens can't
// represent. They are rejected rather than ignored, so that a caller does not silently
// receive less than it requested.
var unsupportedFields = []string{"tools", "functions", "logprobs", "top_logprobs", "echo", "suffix", "audio", "modalities"}

// parseCompletion validates a body. It removes the caller's key and the fields that only
// the router may set, and sets max_tokens to the output limit that is reserved.
func (c *call) parseCompletion(data []byte, chat bool) (*completionRequest, error) {
	body, err := decodeObject(data)
	if err != nil {
		return nil, err
	}
	c.credentials.CleanJSON(body)
	p := &completionRequest{chat: chat, body: body}
	if err := p.readOptions(); err != nil {
		return nil, err
	}
	target.RemoveEngineFields(body)
	if err := p.readMaxTokens(c.gateway.options.DefaultMaxOutputTokens); err != nil {
		return nil, err
	}
	if chat {
		err = p.readMessages()
	} else {
		err = p.readPrompt()
	}
	if err != nil {
		return nil, err
	}
	if c.index.Model(p.model) == nil {
		return nil, refusal.New(refusal.NotFound, "model %.100q is not configured", p.model)
	}
	return p, p.setFingerprint()
}

func decodeObject(data []byte) (map[string]any, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var body map[string]any
	if err := decoder.Decode(&body); err != nil || body == nil {
		return nil, invalidRequest("the body is not a JSON object")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, invalidRequest("the body has data after the JSON object")
	}
	return body, nil
}

func (p *completionRequest) readOptions() error {
	var ok bool
	if p.model, ok = p.body["model"].(string); !ok || p.model == "" {
		return invalidRequest("model must be a non-empty string")
	}
	if v, present := p.body["stream"]; present && v != nil {
		if p.stream, ok = v.(bool); !ok {
			return invalidRequest("stream must be true or false")
		}
	}
	if v, present := p.body["stream_options"]; present && v != nil {
		options, ok := v.(map[string]any)
		if !ok {
			return invalidRequest("stream_options must be an object")
		}
		p.includeUsage, _ = options["include_usage"].(bool)
	}
	for _, name := range []string{"n", "best_of"} {
		if v, present := p.body[name]; present && v != nil && v != json.Number("1") {
			return invalidRequest("%s must be 1", name)
		}
	}
	for _, name := range unsupportedFields {
		if v, present := p.body[name]; present && v != nil && v != false {
			return invalidRequest("%s is not supported", name)
		}
	}
	return nil
}

func (p *completionRequest) readMaxTokens(defaultTokens int) error {
	p.maxTokens = defaultTokens
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		v, present := p.body[name]
		if !present || v == nil {
			continue
		}
		number, ok := v.(json.Number)
		n, err := number.Int64()
		if !ok || err != nil || n < 1 || n > maxOutputTokens {
			return invalidRequest("%s must be a whole number from 1 to %d", name, maxOutputTokens)
		}
		p.maxTokens = int(n)
	}
	delete(p.body, "max_completion_tokens")
	p.body["max_tokens"] = p.maxTokens
	return nil
}

func (p *completionRequest) readPrompt() error {
	prompt, ok := p.body["prompt"].(string)
	if list, isList := p.body["prompt"].([]any); isList && len(list) == 1 {
		prompt, ok = list[0].(string)
	}
	if !ok || prompt == "" {
		return invalidRequest("prompt must be a non-empty string, or a list of one")
	}
	p.body["prompt"] = prompt
	p.prompt = []byte(prompt)
	return nil
}

func (p *completionRequest) readMessages() error {
	list, ok := p.body["messages"].([]any)
	if !ok || len(list) == 0 {
		return invalidRequest("messages must be a non-empty list")
	}
	messages := make([]prefix.Message, len(list))
	for i, v := range list {
		m, ok := v.(map[string]any)
		if !ok {
			return invalidRequest("messages[%d] must be an object", i)
		}
		role, ok := m["role"].(string)
		if !ok || role == "" {
			return invalidRequest("messages[%d].role must be a non-empty string", i)
		}
		content, ok := textContent(m["content"])
		if !ok {
			return invalidRequest("messages[%d].content must be a string or a list of text parts", i)
		}
		m["content"] = content // normalized, so that router and engine hash the same bytes
		messages[i] = prefix.Message{Role: role, Content: content}
	}
	p.prompt = prefix.ChatPrompt(messages)
	return nil
}

func textContent(v any) (string, bool) {
	if text, ok := v.(string); ok {
		return text, true
	}
	parts, ok := v.([]any)
	if !ok {
		return "", false
	}
	var text strings.Builder
	for _, part := range parts {
		fields, _ := part.(map[string]any)
		partText, ok := fields["text"].(string)
		if !ok || fields["type"] != "text" {
			return "", false
		}
		text.WriteString(partText)
	}
	return text.String(), true
}

func (p *completionRequest) setFingerprint() error {
	encoded, err := json.Marshal(p.body) // map keys are sorted
	if err != nil {
		return invalidRequest("the body can't be encoded")
	}
	if p.chat {
		encoded = append(encoded, "chat"...)
	}
	p.fingerprint = sha256.Sum256(encoded)
	return nil
}

// reservedTokens returns the estimated maximum of tokens that the request uses.
func (p *completionRequest) reservedTokens() int64 {
	return int64(prefix.Tokens(len(p.prompt)) + p.maxTokens)
}
