package dialer

import (
	"errors"
	"net"
	"syscall"

	"cardamompulley/fleet/timekeeper"
)

const (
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux.
	tcpUserTimeout = 18
	// probeCount is the number of unanswered probes after which a connection is dead.
	probeCount = 2
	// probeParts divides the span of silence into the intervals between probes.
	probeParts = 4
)

// NewDialer returns a dialer with a timeout for the connect, whose connections end after a span in which the peer has
// acknowledged neither bytes nor probes.
func NewDialer(timeout, silence timekeeper.Millis) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout.Duration(),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     silence.Duration() / 2,
			Interval: silence.Duration() / probeParts,
			Count:    probeCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error { return limitSilence(c, silence) },
	}
}

// limitSilence makes the kernel give up on a connection whose peer acknowledges nothing.
func limitSilence(c syscall.RawConn, span timekeeper.Millis) error {
	var fault error
	err := c.Control(func(fd uintptr) {
		fault = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(span))
	})

	return errors.Join(err, fault)
}
