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
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	TotalTokens      int          `json:"total_tokens"`
	PromptDetails    promptDetail `json:"prompt_tokens_details"`
}

type promptDetail struct {
	CachedTokens int `json:"cached_tokens"`
}

type answerBody struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []choiceBody `json:"choices"`
	Usage   *usageBody   `json:"usage,omitempty"`
}

func (r *completionRun) answer(object, chatObject string, choices []choiceBody) answerBody {
	if r.request.chat {
		object = chatObject
	}
	return answerBody{ID: r.id, Object: object, Created: r.created, Model: r.request.model, Choices: choices}
}

// chunkEncoder is the memory that encoding a token reuses, so that a token allocates
// only its event.
type chunkEncoder struct {
	buffer  bytes.Buffer
	encoder *json.Encoder
	body    answerBody
	choices [1]choiceBody
	delta   messageBody
	token   dispatch.Token
}

// encodeToken returns the server-sent event of a token.
func (r *completionRun) encodeToken(t dispatch.Token, first bool) ([]byte, error) {
	e := &r.chunk
	if e.encoder == nil {
		e.encoder = json.NewEncoder(&e.buffer)
		e.body = r.answer("text_completion", "chat.completion.chunk", e.choices[:])
	}
	e.token = t
	choice := choiceBody{}
	if t.FinishReason != "" {
		choice.FinishReason = &e.token.FinishReason
	}
	if r.request.chat {
		e.delta = messageBody{Content: t.Text}
		if first && r.resume == nil {
			e.delta.Role = "assistant"
		}
		choice.Delta = &e.delta
	} else {
		choice.Text = &e.token.Text
	}
	e.choices[0] = choice
	e.buffer.Reset()
	e.buffer.WriteString("id: ")
	e.buffer.Write(r.ids.appendID(e.buffer.AvailableBuffer(), t.Position))
	e.buffer.WriteString("\ndata: ")
	// The encoder ends the data with a line break.
	if err := e.encoder.Encode(&e.body); err != nil {
		return nil, err
	}
	e.buffer.WriteByte('\n')
	return bytes.Clone(e.buffer.Bytes()), nil
}

func (r *completionRun) usageChunk(result dispatch.Result) answerBody {
	body := r.answer("text_completion", "chat.completion.chunk", []choiceBody{})
	body.Usage = usage(result)
	return body
}

func (r *completionRun) wholeBody(text string, result dispatch.Result) answerBody {
	choice := choiceBody{}
	if r.finish != "" {
		choice.FinishReason = &r.finish
	}
	if r.request.chat {
		choice.Message = &messageBody{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	body := r.answer("text_completion", "chat.completion", []choiceBody{choice})
	body.Usage = usage(result)
	return body
}

func usage(result dispatch.Result) *usageBody {
	u := result.Usage
	return &usageBody{u.PromptTokens, u.CompletionTokens, u.PromptTokens + u.CompletionTokens, promptDetail{u.CachedTokens}}
}
