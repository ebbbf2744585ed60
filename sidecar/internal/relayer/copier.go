package relayer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// copier copies the pieces of one response to the sink.
type copier struct {
	relayer    *Relayer
	sink       Sink
	stallTimer *time.Timer
	startedAt  timekeeper.Millis
	stats      Stats
}

// deliver passes a piece to the sink, restarts the stall timeout and updates the statistics.
func (c *copier) deliver(piece []byte) error {
	c.stallTimer.Reset(c.relayer.stallTimeout.Duration())
	elapsed := c.relayer.clock.Now() - c.startedAt
	if c.stats.PieceCount == 0 {
		c.stats.TimeToFirstPiece = elapsed
	}
	c.stats.TimeToLastPiece = elapsed
	c.stats.PieceCount++

	return c.sink.OnPiece(piece)
}

var (
	doneMarker = []byte("data: [DONE]")
	usageField = []byte(`"usage":{`)
	dataPrefix = []byte("data: ")
)

// copyStream delivers each server-sent event as a piece, up to and including the final one. It returns ErrIncomplete if the
// stream ends without that event, and ErrTooLarge if an event does not end.
func (c *copier) copyStream(body io.Reader) error {
	reader := bufio.NewReader(body)
	var event []byte
	lineStart := 0
	isDone := false
	for {
		part, err := reader.ReadSlice('\n')
		event = append(event, part...)
		if len(event) > maxEventBytes {
			return ErrTooLarge
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		line := event[lineStart:]
		lineStart = len(event)
		if bytes.HasPrefix(line, doneMarker) {
			isDone = true
		}
		c.readUsage(bytes.TrimPrefix(line, dataPrefix))
		if len(bytes.TrimSpace(line)) == 0 && len(event) > len(line) {
			if err := c.deliver(event); err != nil {
				return err
			}
			event, lineStart = nil, 0
		}
		if isDone && event == nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("%w: %w", ErrIncomplete, err)
		}
	}
}

// copyBody delivers the whole body as one piece.
func (c *copier) copyBody(response *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrIncomplete, err)
	}
	if len(body) > maxResponseBytes {
		return ErrTooLarge
	}
	c.readUsage(body)

	return c.deliver(body)
}

// usageEnvelope is the part of a chat completion, or of an event of its stream, that reports the tokens found in the prefix
// cache.
type usageEnvelope struct {
	Usage struct {
		PromptTokensDetails struct {
			CachedTokens model.Tokens `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

func (c *copier) readUsage(raw []byte) {
	if !bytes.Contains(raw, usageField) {
		return
	}
	var u usageEnvelope
	if json.Unmarshal(raw, &u) == nil {
		c.stats.CachedTokens = u.Usage.PromptTokensDetails.CachedTokens
	}
}
