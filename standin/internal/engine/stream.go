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

func usageOf(cached, total, tokens int) usage {
	return usage{
		PromptTokens:        total,
		CompletionTokens:    tokens,
		TotalTokens:         total + tokens,
		PromptTokensDetails: promptDetails{CachedTokens: cached},
	}
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason string   `json:"finish_reason,omitempty"`
}

type answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func completion(name, text string, u usage) answer {
	return answer{
		ID: "chatcmpl-standin", Object: "chat.completion", Model: name, Usage: &u,
		Choices: []choice{{Message: &message{Role: "assistant", Content: text}, FinishReason: "stop"}},
	}
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, name string, tokens int, u usage, f Faults) {
	w.Header().Set("Content-Type", "text/event-stream")
	for n := range tokens {
		if f.CutAfter > 0 && n == f.CutAfter {
			panic(http.ErrAbortHandler)
		}
		if f.StallAfter > 0 && n == f.StallAfter {
			<-r.Context().Done()

			return
		}
		if n > 0 {
			sleep(r, e.options.TokenGap)
		}
		text := fmt.Sprintf("w%d ", n)
		send(w, answer{
			ID: "chatcmpl-standin", Object: "chat.completion.chunk", Model: name,
			Choices: []choice{{Delta: &message{Role: "assistant", Content: text}}},
		})
	}
	send(w, answer{
		ID: "chatcmpl-standin", Object: "chat.completion.chunk", Model: name, Usage: &u, Choices: []choice{},
	})
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func send(w http.ResponseWriter, a answer) {
	raw, err := json.Marshal(a)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", raw)
	_ = http.NewResponseController(w).Flush()
}

// orders are the models that the engine was told to load.
type orders struct {
	fenced  bool
	fencing uint64
	loaded  []string
}

type order struct {
	Load    string            `json:"load"`
	Fencing uint64            `json:"fencing"`
	Delay   timekeeper.Millis `json:"delay-ms"`
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return
	}
	sleep(r, o.Delay)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.orders.fenced && o.Fencing < e.orders.fencing {
		http.Error(w, "older fencing number", http.StatusConflict)

		return
	}
	e.orders.fencing = max(e.orders.fencing, o.Fencing)
	e.orders.loaded = append(e.orders.loaded, o.Load)
}
