package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync/atomic"

	"github.com/gofiber/fiber/v3"

	"cardamompulley/fleet/follower"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/fleet/tracer"
	"cardamompulley/router/internal/settings"
	"cardamompulley/router/internal/submitter"
)

const (
	headerBytes  = 16 << 10
	bearerPrefix = "Bearer "
	accountLocal = "account"
)

// Server is the router's front for callers.
type Server struct {
	app       *fiber.App
	settings  settings.Settings
	follower  *follower.Follower
	submitter *submitter.Submitter
	tracer    *tracer.Tracer
	stopping  atomic.Bool
	done      chan struct{}
}

// NewServer returns the front of a router.
func NewServer(s settings.Settings, f *follower.Follower, t *tracer.Tracer) *Server {
	v := &Server{
		settings:  s,
		follower:  f,
		submitter: submitter.NewSubmitter(s.Settings, f, t),
		tracer:    t,
		done:      make(chan struct{}),
	}
	v.app = fiber.New(fiber.Config{
		BodyLimit:      s.MaxBodyBytes,
		ReadTimeout:    s.ReadTimeout.Duration(),
		ReadBufferSize: headerBytes,
		ErrorHandler:   v.handleError,
	})
	v.app.Use(v.filterOpen, v.filterAccount)
	v.app.Post("/v1/chat/completions", v.handleChat)
	v.app.All("/services/:service/*", v.handleService)

	return v
}

// Serve answers callers on a listener until Stop.
func (v *Server) Serve(l net.Listener) error {
	defer close(v.done)
	stalls := stallListener{Listener: l, stall: v.settings.WriteStallTimeout}
	if err := v.app.Listener(stalls, fiber.ListenConfig{DisableStartupMessage: true}); err != nil {
		return fmt.Errorf("server: %w", err)
	}

	return nil
}

// Ready tells whether the router takes work.
func (v *Server) Ready() bool {
	return !v.stopping.Load() && v.follower.Ready()
}

// Stop refuses new work and returns when every running answer has ended or the context ends.
func (v *Server) Stop(ctx context.Context) error {
	v.stopping.Store(true)
	if err := v.app.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("server: requests still run: %w", err)
	}
	<-v.done

	return nil
}

// filterOpen turns requests away while the router is not ready.
func (v *Server) filterOpen(c fiber.Ctx) error {
	if v.Ready() {
		return c.Next()
	}
	c.Set(fiber.HeaderConnection, "close")

	return v.refuse(c, model.NewRefusal(model.CodeNotReady, "this router takes no work now").
		WithRetryAfter(timekeeper.Second))
}

// filterAccount finds the client account of the bearer token.
func (v *Server) filterAccount(c fiber.Ctx) error {
	token, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), bearerPrefix)
	if !ok {
		return v.refuse(c, model.NewRefusal(model.CodeUnauthorized, "a bearer token is required"))
	}
	account, ok := v.follower.Snapshot().AccountByToken(token)
	if !ok {
		return v.refuse(c, model.NewRefusal(model.CodeUnauthorized, "the bearer token belongs to no client account"))
	}
	c.Locals(accountLocal, account)

	return c.Next()
}

func accountOf(c fiber.Ctx) model.AccountID {
	account, _ := c.Locals(accountLocal).(model.AccountID)

	return account
}

func (v *Server) handleError(c fiber.Ctx, err error) error {
	var known *fiber.Error
	if !errors.As(err, &known) {
		return v.refuse(c, model.NewRefusal(model.CodeBadRequest, err.Error()))
	}
	switch known.Code {
	case fiber.StatusRequestEntityTooLarge:
		return v.refuse(c, model.NewRefusal(model.CodeBodyTooLarge,
			fmt.Sprintf("a body may hold %d bytes", v.settings.MaxBodyBytes)))
	case fiber.StatusNotFound, fiber.StatusMethodNotAllowed:
		return v.sendProblem(c, known.Code, model.NewRefusal(model.CodeBadRequest, known.Message))
	default:
		return v.refuse(c, model.NewRefusal(model.CodeBadRequest, known.Message))
	}
}
