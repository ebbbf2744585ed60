package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"

	"cardamompulley/fleet/drainer"
	"cardamompulley/fleet/follower"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/fleet/tracer"
	"cardamompulley/router/internal/settings"
	"cardamompulley/router/internal/submitter"
)

const (
	maxHeaderBytes = 16 << 10
	bearerPrefix   = "Bearer "
	// accountLocalsKey is the key of the authenticated client account in the request's local values.
	accountLocalsKey = "account"
)

// Server is the HTTP server for callers.
type Server struct {
	app            *fiber.App
	settings       settings.Settings
	follower       *follower.Follower
	submitter      *submitter.Submitter
	tracer         *tracer.Tracer
	conns          *drainer.Tracker
	isShuttingDown atomic.Bool
	// requests is the context of all requests; it ends just before the end of a shutdown.
	requests    context.Context
	endRequests context.CancelFunc
	// listener is set once listening is closed.
	listener  *drainer.Listener
	listening chan struct{}
	// done is closed when Serve has returned.
	done chan struct{}
}

// NewServer returns the server of a router.
func NewServer(s settings.Settings, f *follower.Follower, t *tracer.Tracer) *Server {
	v := &Server{
		settings:  s,
		follower:  f,
		submitter: submitter.NewSubmitter(s.Settings, f, t),
		tracer:    t,
		conns:     drainer.NewTracker(timekeeper.NewSystemClock()),
		listening: make(chan struct{}),
		done:      make(chan struct{}),
	}
	v.requests, v.endRequests = context.WithCancel(context.Background())
	v.app = fiber.New(fiber.Config{
		BodyLimit:      s.MaxBodyBytes,
		ReadTimeout:    s.ReadTimeout.Duration(),
		ReadBufferSize: maxHeaderBytes,
		ErrorHandler:   v.handleError,
	})
	v.app.Server().ConnState = reportConnState
	v.app.Use(v.announceClose, v.requireReady, v.authenticate)
	v.app.Post("/v1/chat/completions", v.handleChat)
	v.app.All("/services/:service/*", v.handleService)

	return v
}

// Serve serves callers on a listener until Shutdown is called.
func (v *Server) Serve(l net.Listener) error {
	defer close(v.done)
	tracked, err := drainer.NewListener(l, v.conns)
	if err != nil {
		return fmt.Errorf("server: %w", err)
	}
	// A shutdown that finishes the listener waits until it is closed.
	defer func() { _ = tracked.Close() }()
	v.listener = tracked
	close(v.listening)
	stallAware := stallListener{Listener: tracked, writeTimeout: v.settings.WriteStallTimeout}
	if err := v.app.Listener(stallAware, fiber.ListenConfig{DisableStartupMessage: true}); err != nil {
		return fmt.Errorf("server: %w", err)
	}

	return nil
}

// IsReady reports whether the router accepts requests: it is not shutting down and its view of the fleet is ready.
func (v *Server) IsReady() bool {
	return !v.isShuttingDown.Load() && v.follower.IsReady()
}

// Shutdown refuses new requests and waits until all running requests have finished, or ends them just before the context ends. It returns
// an error if requests run even then. The framework is shut down last, because its shutdown also closes connections from which a request
// has just been read.
func (v *Server) Shutdown(ctx context.Context) error {
	v.isShuttingDown.Store(true)
	v.conns.CloseAfterResponse()
	if deadline, ok := ctx.Deadline(); ok {
		grace := timekeeper.Millis(time.Until(deadline).Milliseconds())
		defer time.AfterFunc((grace - drainer.EndMargin(grace)).Duration(), v.endRequests).Stop()
	}
	err := v.finishListener(ctx)
	if err == nil {
		err = v.conns.Drain(ctx, drainer.Waits{First: drainer.FirstRequestTimeout})
	}
	if err := errors.Join(err, v.app.ShutdownWithContext(ctx)); err != nil {
		return fmt.Errorf("server: requests still run: %w", err)
	}

	return nil
}

// finishListener closes the listener once all connections that have arrived are accepted, and waits until Serve has returned.
func (v *Server) finishListener(ctx context.Context) error {
	select {
	case <-v.listening:
	case <-v.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
	err := v.listener.Finish(ctx)
	<-v.done

	return err
}

// announceClose tells the caller that its connection closes after the response, if the shutdown begins before the response.
func (v *Server) announceClose(c fiber.Ctx) error {
	err := c.Next()
	if v.isShuttingDown.Load() {
		c.Set(fiber.HeaderConnection, "close")
	}

	return err
}

// requireReady refuses requests while the router is not ready, and closes their connections.
func (v *Server) requireReady(c fiber.Ctx) error {
	if v.IsReady() {
		return c.Next()
	}
	c.Set(fiber.HeaderConnection, "close")

	return v.refuse(c, model.NewRefusal(model.CodeNotReady, "this router takes no work now").
		WithRetryAfter(timekeeper.Second))
}

// authenticate looks up the client account of the bearer token and refuses requests without a valid one.
func (v *Server) authenticate(c fiber.Ctx) error {
	token, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), bearerPrefix)
	if !ok {
		return v.refuse(c, model.NewRefusal(model.CodeUnauthorized, "a bearer token is required"))
	}
	account, ok := v.follower.Snapshot().AccountByToken(token)
	if !ok {
		return v.refuse(c, model.NewRefusal(model.CodeUnauthorized, "the bearer token belongs to no client account"))
	}
	c.Locals(accountLocalsKey, account)

	return c.Next()
}

func authenticatedAccount(c fiber.Ctx) model.AccountID {
	account, _ := c.Locals(accountLocalsKey).(model.AccountID)

	return account
}

// handleError turns an error of the HTTP framework or of a handler into a refusal.
func (v *Server) handleError(c fiber.Ctx, err error) error {
	var fiberErr *fiber.Error
	if !errors.As(err, &fiberErr) {
		return v.refuse(c, model.NewRefusal(model.CodeBadRequest, err.Error()))
	}
	switch fiberErr.Code {
	case fiber.StatusRequestEntityTooLarge:
		return v.refuse(c, model.NewRefusal(model.CodeBodyTooLarge,
			fmt.Sprintf("a body may hold %d bytes", v.settings.MaxBodyBytes)))
	case fiber.StatusNotFound, fiber.StatusMethodNotAllowed:
		return v.sendProblem(c, fiberErr.Code, model.NewRefusal(model.CodeBadRequest, fiberErr.Message))
	default:
		return v.refuse(c, model.NewRefusal(model.CodeBadRequest, fiberErr.Message))
	}
}
