package gateway

import (
	"bytes"
	"encoding/json"

	"github.com/sequoiaroad/sequoiaroad/internal/dispatch"
)

type messageBody struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choiceBody struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Message      *messageBody `json:"message,omitempty"`
	Delta        *messageBody `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type usageBody struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	PromptDetails    promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type completionBody struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []choiceBody `json:"choices"`
	Usage   *usageBody   `json:"usage,omitempty"`
}

// newBody returns a body with one of two object names, the second for chat completions.
func (run *completionRun) newBody(object, chatObject string, choices []choiceBody) completionBody {
	if run.request.chat {
		object = chatObject
	}
	return completionBody{ID: run.id, Object: object, Created: run.created, Model: run.request.model, Choices: choices}
}

// chunkEncoder holds the buffers that are reused from token to token, so that encoding a
// token allocates only its event.
type chunkEncoder struct {
	buffer  bytes.Buffer
	encoder *json.Encoder
	body    completionBody
	choices [1]choiceBody
	delta   messageBody
	token   dispatch.Token
}

// encodeToken returns the server-sent event of a token.
func (run *completionRun) encodeToken(t dispatch.Token, first bool) ([]byte, error) {
	e := &run.encoder
	if e.encoder == nil {
		e.encoder = json.NewEncoder(&e.buffer)
		e.body = run.newBody("text_completion", "chat.completion.chunk", e.choices[:])
	}
	e.token = t
	choice := choiceBody{}
	if t.FinishReason != "" {
		choice.FinishReason = &e.token.FinishReason
	}
	if run.request.chat {
		e.delta = messageBody{Content: t.Text}
		if first && run.resumeFrom == nil {
			e.delta.Role = "assistant"
		}
		choice.Delta = &e.delta
	} else {
		choice.Text = &e.token.Text
	}
	e.choices[0] = choice
	e.buffer.Reset()
	e.buffer.WriteString("id: ")
	e.buffer.Write(run.eventIDs.appendID(e.buffer.AvailableBuffer(), t.Position))
	e.buffer.WriteString("\ndata: ")
	// The encoder appends a line break.
	if err := e.encoder.Encode(&e.body); err != nil {
		return nil, err
	}
	e.buffer.WriteByte('\n')
	return bytes.Clone(e.buffer.Bytes()), nil
}

func (run *completionRun) usageChunk(result dispatch.Result) completionBody {
	body := run.newBody("text_completion", "chat.completion.chunk", []choiceBody{})
	body.Usage = usage(result)
	return body
}

func (run *completionRun) unstreamedBody(text string, result dispatch.Result) completionBody {
	choice := choiceBody{}
	if run.finishReason != "" {
		choice.FinishReason = &run.finishReason
	}
	if run.request.chat {
		choice.Message = &messageBody{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	body := run.newBody("text_completion", "chat.completion", []choiceBody{choice})
	body.Usage = usage(result)
	return body
}

func usage(result dispatch.Result) *usageBody {
	u := result.Usage
	return &usageBody{u.PromptTokens, u.CompletionTokens, u.PromptTokens + u.CompletionTokens, promptDetails{u.CachedTokens}}
}
