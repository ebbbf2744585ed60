package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/google/subcommands"
)

// callCommand sends one request as a caller does.
type callCommand struct {
	console
	router, token, model, method, body, key, deadline string
}

func (*callCommand) Name() string     { return "call" }
func (*callCommand) Synopsis() string { return "send a chat or a service call through a router" }
func (*callCommand) Usage() string {
	return "call --router URL --token TOKEN chat --model ID TEXT\n" +
		"call --router URL --token TOKEN [--method POST --body JSON --key KEY] service NAME/PATH\n"
}

// SetFlags declares the flags.
func (c *callCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.router, "router", "", "URL that callers reach")
	f.StringVar(&c.token, "token", "", "bearer token of the client account")
	f.StringVar(&c.model, "model", "", "model, or model:adapter, of a chat")
	f.StringVar(&c.method, "method", http.MethodGet, "method of a service call")
	f.StringVar(&c.body, "body", "", "body of a service call")
	f.StringVar(&c.key, "key", "", "Idempotency-Key, for work that may run once")
	f.StringVar(&c.deadline, "deadline-ms", "", "deadline of the request")
}

// Execute sends the request and prints the answer as it comes.
func (c *callCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	request, err := c.request(ctx, f.Args())
	if err != nil {
		return c.fail(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return c.fail(fmt.Errorf("cardamompulley: %w", err))
	}
	defer response.Body.Close()
	if _, err := io.Copy(c.out, response.Body); err != nil {
		return c.fail(fmt.Errorf("cardamompulley: answer: %w", err))
	}
	fmt.Fprintf(c.errs, "status %d, endpoint %s\n", response.StatusCode, response.Header.Get("X-Endpoint"))
	if response.StatusCode >= http.StatusBadRequest {
		return ExitRefused
	}

	return ExitOK
}

func (c *callCommand) request(ctx context.Context, words []string) (*http.Request, error) {
	method, body := c.method, c.body
	var path string
	switch {
	case len(words) == 2 && words[0] == "chat" && c.model != "":
		raw, err := json.Marshal(map[string]any{
			"model": c.model, "stream": true, "messages": []map[string]string{{"role": "user", "content": words[1]}},
		})
		if err != nil {
			return nil, fmt.Errorf("cardamompulley: chat: %w", err)
		}
		method, path, body = http.MethodPost, "/v1/chat/completions", string(raw)
	case len(words) == 2 && words[0] == "service":
		path = "/services/" + words[1]
	default:
		return nil, fmt.Errorf("%w: %s", errUsage, c.Usage())
	}
	request, err := http.NewRequestWithContext(ctx, method, c.router+path, strings.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	request.Header.Set("Content-Type", "application/json")
	if c.key != "" {
		request.Header.Set("Idempotency-Key", c.key)
	}
	if c.deadline != "" {
		request.Header.Set("Deadline", c.deadline)
	}

	return request, nil
}
