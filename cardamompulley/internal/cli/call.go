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

// callCommand sends one request to a router as a client account.
type callCommand struct {
	console
	router, token, model, method, body, idempotencyKey, deadlineMs string
}

func (*callCommand) Name() string     { return "call" }
func (*callCommand) Synopsis() string { return "send a chat or a service call through a router" }
func (*callCommand) Usage() string {
	return "call --router URL --token TOKEN chat --model ID TEXT\n" +
		"call --router URL --token TOKEN [--method POST --body JSON --key KEY] service NAME/PATH\n"
}

// SetFlags adds the flags of the command.
func (c *callCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.router, "router", "", "URL of a router's port for callers")
	f.StringVar(&c.token, "token", "", "bearer token of the client account")
	f.StringVar(&c.model, "model", "", "model of a chat, or model:adapter")
	f.StringVar(&c.method, "method", http.MethodGet, "method of a service call")
	f.StringVar(&c.body, "body", "", "body of a service call")
	f.StringVar(&c.idempotencyKey, "key", "", "Idempotency-Key, for requests that may run only once")
	f.StringVar(&c.deadlineMs, "deadline-ms", "", "deadline of the request, in milliseconds from now")
}

// Execute sends the request and prints the response as it arrives.
func (c *callCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	request, err := c.newRequest(ctx, f.Args())
	if err != nil {
		return c.fail(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return c.fail(fmt.Errorf("cardamompulley: %w", err))
	}
	defer response.Body.Close()
	if _, err := io.Copy(c.out, response.Body); err != nil {
		return c.fail(fmt.Errorf("cardamompulley: read response: %w", err))
	}
	fmt.Fprintf(c.errs, "status %d, endpoint %s\n", response.StatusCode, response.Header.Get("X-Endpoint"))
	if response.StatusCode >= http.StatusBadRequest {
		return ExitRefused
	}

	return ExitOK
}

// newRequest builds the HTTP request from the flags and the remaining arguments.
func (c *callCommand) newRequest(ctx context.Context, args []string) (*http.Request, error) {
	method, body := c.method, c.body
	var path string
	switch {
	case len(args) == 2 && args[0] == "chat" && c.model != "":
		raw, err := json.Marshal(map[string]any{
			"model": c.model, "stream": true, "messages": []map[string]string{{"role": "user", "content": args[1]}},
		})
		if err != nil {
			return nil, fmt.Errorf("cardamompulley: encode chat request: %w", err)
		}
		method, path, body = http.MethodPost, "/v1/chat/completions", string(raw)
	case len(args) == 2 && args[0] == "service":
		path = "/services/" + args[1]
	default:
		return nil, fmt.Errorf("%w: %s", errUsage, c.Usage())
	}
	request, err := http.NewRequestWithContext(ctx, method, c.router+path, strings.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	request.Header.Set("Content-Type", "application/json")
	if c.idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", c.idempotencyKey)
	}
	if c.deadlineMs != "" {
		request.Header.Set("Deadline", c.deadlineMs)
	}

	return request, nil
}
