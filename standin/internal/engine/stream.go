package engine

import (
	"encoding/json"
	"fmt"
	"net/http"

	"cardamompulley/fleet/timekeeper"
)

type usage struct {
	PromptTokens        int           `json:"prompt_tokens"`
	CompletionTokens    int           `json:"completion_tokens"`
	TotalTokens         int           `json:"total_tokens"`
	PromptTokensDetails promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func newUsage(cachedTokens, promptTokens, completionTokens int) usage {
	return usage{
		PromptTokens:        promptTokens,
		CompletionTokens:    completionTokens,
		TotalTokens:         promptTokens + completionTokens,
		PromptTokensDetails: promptDetails{CachedTokens: cachedTokens},
	}
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason string   `json:"finish_reason,omitempty"`
}

type chatCompletion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func newChatCompletion(modelName, text string, u usage) chatCompletion {
	return chatCompletion{
		ID: "chatcmpl-standin", Object: "chat.completion", Model: modelName, Usage: &u,
		Choices: []choice{{Message: &message{Role: "assistant", Content: text}, FinishReason: "stop"}},
	}
}

func (e *Engine) streamCompletion(w http.ResponseWriter, r *http.Request, modelName string, tokens int, u usage, f Faults) {
	w.Header().Set("Content-Type", "text/event-stream")
	for n := range tokens {
		if f.AbortAfterTokens > 0 && n == f.AbortAfterTokens {
			panic(http.ErrAbortHandler)
		}
		if f.StallAfterTokens > 0 && n == f.StallAfterTokens {
			<-r.Context().Done()

			return
		}
		if n > 0 {
			sleep(r, e.options.TokenInterval)
		}
		text := fmt.Sprintf("w%d ", n)
		sendEvent(w, chatCompletion{
			ID: "chatcmpl-standin", Object: "chat.completion.chunk", Model: modelName,
			Choices: []choice{{Delta: &message{Role: "assistant", Content: text}}},
		})
	}
	sendEvent(w, chatCompletion{
		ID: "chatcmpl-standin", Object: "chat.completion.chunk", Model: modelName, Usage: &u, Choices: []choice{},
	})
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func sendEvent(w http.ResponseWriter, event chatCompletion) {
	raw, err := json.Marshal(event)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", raw)
	_ = http.NewResponseController(w).Flush()
}

// modelLoads holds the models loaded by POST /orders and the highest fencing token seen.
type modelLoads struct {
	requireFencing bool
	fencingToken   uint64
	models         []string
}

type loadCommand struct {
	Model        string            `json:"load"`
	FencingToken uint64            `json:"fencing"`
	Delay        timekeeper.Millis `json:"delay-ms"`
}

func (e *Engine) handleModelLoad(w http.ResponseWriter, r *http.Request) {
	var command loadCommand
	if err := json.NewDecoder(r.Body).Decode(&command); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return
	}
	sleep(r, command.Delay)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.modelLoads.requireFencing && command.FencingToken < e.modelLoads.fencingToken {
		http.Error(w, "older fencing number", http.StatusConflict)

		return
	}
	e.modelLoads.fencingToken = max(e.modelLoads.fencingToken, command.FencingToken)
	e.modelLoads.models = append(e.modelLoads.models, command.Model)
}
