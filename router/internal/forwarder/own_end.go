package forwarder

import (
	"context"
	"errors"
	"fmt"
)

// Reasons for which this gateway itself ends an attempt by closing the endpoint's connection.
var (
	errTimeOver   = errors.New("forwarder: the request's time is over")
	errCallerGone = errors.New("forwarder: the caller has disconnected")
	// errShutdown ends what still runs at the end of a shutdown.
	errShutdown = errors.New("forwarder: this gateway is stopping")
)

// nameOwnEnd returns the reason, with its figure, for which this gateway has ended an attempt itself, in place of the error of the
// connection that it closed. Any other error is returned as it is.
func (p *proxiedRequest) nameOwnEnd(err error) error {
	isNamed := errors.Is(err, errTimeOver) || errors.Is(err, errCallerGone) || errors.Is(err, errShutdown)
	if isNamed || p.ctx == nil || p.ctx.Err() == nil {
		return err
	}
	if errors.Is(p.ctx.Err(), context.DeadlineExceeded) {
		return fmt.Errorf("%w: %d ms", errTimeOver, p.deadline-p.arrivedAt)
	}
	if p.request.Context().Err() == nil {
		return errShutdown
	}

	return fmt.Errorf("%w after %d ms", errCallerGone, p.forwarder.clock.Now()-p.arrivedAt)
}
