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

// ErrStreamTruncated means that a stream ended without its final [DONE] event and without an error event.
var ErrStreamTruncated = errors.New("caller: stream ended without [DONE] or an error event")

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Response is the response of a router, read to its end.
type Response struct {
	Status int
	// Endpoint is the ID of the endpoint that served the request.
	Endpoint string
	// IsReplayed reports whether this is the stored response to an earlier request with the same idempotency key.
	IsReplayed bool
	// RetryAfter is the Retry-After header.
	RetryAfter string
	// Text is the body, or the joined text of the chunks of a stream.
	Text string
	// Code and Outcome are those of a refusal or an error event. They are empty on success.
	Code         string
	Outcome      string
	CachedTokens int
	PromptTokens int
	// Chunks is the number of chunks of a stream.
	Chunks int
	// IsComplete reports whether a stream ended with [DONE], or another response had a status below 400.
	IsComplete       bool
	TimeToFirstChunk timekeeper.Millis
}

// Client sends requests to one router with a bearer token.
type Client struct {
	BaseURL string
	Token   string
	HTTP    *http.Client
}

// NewClient returns a client of the router at address.
func NewClient(address, token string) *Client {
	return &Client{BaseURL: "http://" + address, Token: token, HTTP: &http.Client{}}
}

type chatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens,omitempty"`
}

// Chat sends a chat completion request and reads the response. For each chunk of a stream it calls onChunk with the number
// of chunks so far, unless onChunk is nil. It returns ErrStreamTruncated if a stream breaks off.
func (c *Client) Chat(modelName string, messages []Message, stream bool, maxTokens int, onChunk func(int)) (Response, error) {
	raw, err := json.Marshal(chatRequest{Model: modelName, Messages: messages, Stream: stream, MaxTokens: maxTokens})
	if err != nil {
		return Response{}, fmt.Errorf("caller: encode chat request: %w", err)
	}
	start := time.Now()
	response, err := c.send(http.MethodPost, "/v1/chat/completions", raw, nil)
	if err != nil {
		return Response{}, err
	}
	defer response.Body.Close()
	r := newResponse(response)
	if !strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		return r, r.readBody(response.Body)
	}

	return r, r.readStream(response.Body, start, onChunk)
}

// Call sends a request to a plain service and reads the response.
func (c *Client) Call(method, path string, body []byte, headers map[string]string) (Response, error) {
	response, err := c.send(method, path, body, headers)
	if err != nil {
		return Response{}, err
	}
	defer response.Body.Close()
	r := newResponse(response)

	return r, r.readBody(response.Body)
}

func (c *Client) send(method, path string, body []byte, headers map[string]string) (*http.Response, error) {
	request, err := http.NewRequest(method, c.BaseURL+path, bytes.NewReader(body))
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

func newResponse(r *http.Response) Response {
	return Response{
		Status:     r.StatusCode,
		Endpoint:   r.Header.Get("X-Endpoint"),
		IsReplayed: r.Header.Get("Idempotent-Replayed") == "true",
		RetryAfter: r.Header.Get("Retry-After"),
	}
}

type responseBody struct {
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

func (r *Response) readBody(body io.Reader) error {
	raw, err := io.ReadAll(body)
	if err != nil {
		return fmt.Errorf("caller: read body: %w", err)
	}
	r.Text = string(raw)
	r.IsComplete = r.Status < http.StatusBadRequest
	var a responseBody
	if json.Unmarshal(raw, &a) == nil {
		r.applyBody(a)
	}

	return nil
}

func (r *Response) applyBody(a responseBody) {
	if a.Code != "" {
		r.Code, r.Outcome = a.Code, a.Outcome
	}
	if a.Usage != nil {
		r.PromptTokens = a.Usage.PromptTokens
		r.CachedTokens = a.Usage.PromptTokensDetails.CachedTokens
	}
}

func (r *Response) readStream(body io.Reader, start time.Time, onChunk func(int)) error {
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.IsComplete = true

			continue
		}
		var a responseBody
		if err := json.Unmarshal([]byte(data), &a); err != nil {
			return fmt.Errorf("caller: decode stream event: %w", err)
		}
		r.applyBody(a)
		if len(a.Choices) == 0 {
			continue
		}
		if r.Chunks == 0 {
			r.TimeToFirstChunk = timekeeper.Millis(time.Since(start).Milliseconds())
		}
		r.Chunks++
		r.Text += a.Choices[0].Delta.Content
		if onChunk != nil {
			onChunk(r.Chunks)
		}
	}
	if !r.IsComplete && r.Code == "" {
		return ErrStreamTruncated
	}

	return nil
}
