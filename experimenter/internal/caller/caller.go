package caller

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"cardamompulley/fleet/timekeeper"
)

// ErrSilentEnd means that a stream ended without its end mark and without an error event.
var ErrSilentEnd = errors.New("caller: stream ended in silence")

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Reply is what came back.
type Reply struct {
	Status     int
	Endpoint   string
	Replayed   bool
	RetryAfter string
	Text       string
	Code       string
	Outcome    string
	Cached     int
	Prompt     int
	Pieces     int
	Whole      bool
	FirstPiece timekeeper.Millis
}

// Caller sends requests with one token.
type Caller struct {
	Base  string
	Token string
	HTTP  *http.Client
}

// NewCaller returns a caller of a router address.
func NewCaller(address, token string) *Caller {
	return &Caller{Base: "http://" + address, Token: token, HTTP: &http.Client{}}
}

type chatBody struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens,omitempty"`
}

// Chat sends a chat and calls onPiece for each piece of a streamed answer.
func (c *Caller) Chat(name string, messages []Message, stream bool, maxTokens int, onPiece func(int)) (Reply, error) {
	raw, err := json.Marshal(chatBody{Model: name, Messages: messages, Stream: stream, MaxTokens: maxTokens})
	if err != nil {
		return Reply{}, fmt.Errorf("caller: chat: %w", err)
	}
	start := time.Now()
	response, err := c.send(http.MethodPost, "/v1/chat/completions", raw, nil)
	if err != nil {
		return Reply{}, err
	}
	defer response.Body.Close()
	r := replyOf(response)
	if !strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		return r, r.readWhole(response.Body)
	}

	return r, r.readStream(response.Body, start, onPiece)
}

// Call sends a call to a plain service.
func (c *Caller) Call(method, path string, body []byte, headers map[string]string) (Reply, error) {
	response, err := c.send(method, path, body, headers)
	if err != nil {
		return Reply{}, err
	}
	defer response.Body.Close()
	r := replyOf(response)

	return r, r.readWhole(response.Body)
}

func (c *Caller) send(method, path string, body []byte, headers map[string]string) (*http.Response, error) {
	request, err := http.NewRequest(method, c.Base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("caller: %s: %w", path, err)
	}
	request.Header.Set("Authorization", "Bearer "+c.Token)
	request.Header.Set("Content-Type", "application/json")
	for k, v := range headers {
		request.Header.Set(k, v)
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return nil, fmt.Errorf("caller: %s: %w", path, err)
	}

	return response, nil
}

func replyOf(r *http.Response) Reply {
	return Reply{
		Status:     r.StatusCode,
		Endpoint:   r.Header.Get("X-Endpoint"),
		Replayed:   r.Header.Get("Idempotent-Replayed") == "true",
		RetryAfter: r.Header.Get("Retry-After"),
	}
}

type answerBody struct {
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
	Choices []struct {
		Message Message `json:"message"`
		Delta   Message `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens        int `json:"prompt_tokens"`
		PromptTokensDetails struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

func (r *Reply) readWhole(body io.Reader) error {
	raw, err := io.ReadAll(body)
	if err != nil {
		return fmt.Errorf("caller: body: %w", err)
	}
	r.Text = string(raw)
	r.Whole = r.Status < http.StatusBadRequest
	var a answerBody
	if json.Unmarshal(raw, &a) == nil {
		r.take(a)
	}

	return nil
}

func (r *Reply) take(a answerBody) {
	if a.Code != "" {
		r.Code, r.Outcome = a.Code, a.Outcome
	}
	if a.Usage != nil {
		r.Prompt = a.Usage.PromptTokens
		r.Cached = a.Usage.PromptTokensDetails.CachedTokens
	}
}

func (r *Reply) readStream(body io.Reader, start time.Time, onPiece func(int)) error {
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.Whole = true

			continue
		}
		var a answerBody
		if err := json.Unmarshal([]byte(data), &a); err != nil {
			return fmt.Errorf("caller: event: %w", err)
		}
		r.take(a)
		if len(a.Choices) == 0 {
			continue
		}
		if r.Pieces == 0 {
			r.FirstPiece = timekeeper.Millis(time.Since(start).Milliseconds())
		}
		r.Pieces++
		r.Text += a.Choices[0].Delta.Content
		if onPiece != nil {
			onPiece(r.Pieces)
		}
	}
	if !r.Whole && r.Code == "" {
		return ErrSilentEnd
	}

	return nil
}
