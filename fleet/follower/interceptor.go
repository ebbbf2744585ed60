package follower

import (
	"context"

	"connectrpc.com/connect"

	"cardamompulley/fleet/model"
)

type tokenSender string

// WrapUnary sends the token with a unary call.
func (t tokenSender) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
		r.Header().Set("Authorization", string(t))

		return next(ctx, r)
	}
}

// WrapStreamingClient sends the token with a streaming call.
func (t tokenSender) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		conn := next(ctx, spec)
		conn.RequestHeader().Set("Authorization", string(t))

		return conn
	}
}

// WrapStreamingHandler leaves handlers as they are.
func (t tokenSender) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}

type admission struct {
	f     *Follower
	roles []model.Role
}

// WrapUnary admits the caller of a unary call.
func (a admission) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
		if err := a.f.admit(r.Header(), a.roles); err != nil {
			return nil, err
		}

		return next(ctx, r)
	}
}

// WrapStreamingClient leaves clients as they are.
func (a admission) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler admits the caller of a streaming call.
func (a admission) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		if err := a.f.admit(conn.RequestHeader(), a.roles); err != nil {
			return err
		}

		return next(ctx, conn)
	}
}
