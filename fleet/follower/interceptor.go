package follower

import (
	"context"

	"connectrpc.com/connect"

	"cardamompulley/fleet/model"
)

// tokenInterceptor is the Authorization header that a client sends with every call.
type tokenInterceptor string

// WrapUnary adds the token to a unary call.
func (t tokenInterceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
		r.Header().Set("Authorization", string(t))

		return next(ctx, r)
	}
}

// WrapStreamingClient adds the token to a streaming call.
func (t tokenInterceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		conn := next(ctx, spec)
		conn.RequestHeader().Set("Authorization", string(t))

		return conn
	}
}

// WrapStreamingHandler returns the handler unchanged.
func (t tokenInterceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}

// authInterceptor rejects calls of processes without one of the roles.
type authInterceptor struct {
	f     *Follower
	roles []model.Role
}

// WrapUnary authorizes the caller of a unary call.
func (a authInterceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
		if err := a.f.authorize(r.Header(), a.roles); err != nil {
			return nil, err
		}

		return next(ctx, r)
	}
}

// WrapStreamingClient returns the client unchanged.
func (a authInterceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler authorizes the caller of a streaming call.
func (a authInterceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		if err := a.f.authorize(conn.RequestHeader(), a.roles); err != nil {
			return err
		}

		return next(ctx, conn)
	}
}
