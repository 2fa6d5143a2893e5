package gateway

import (
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

func (r *completionRun) chunkBody(t dispatch.Token, first bool) answerBody {
	choice := choiceBody{}
	if t.FinishReason != "" {
		choice.FinishReason = &t.FinishReason
	}
	if r.request.chat {
		choice.Delta = &messageBody{Content: t.Text}
		if first && r.resume == nil {
			choice.Delta.Role = "assistant"
		}
	} else {
		choice.Text = &t.Text
	}
	return r.answer("text_completion", "chat.completion.chunk", []choiceBody{choice})
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
