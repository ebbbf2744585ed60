package dialer

import (
	"errors"
	"net"
	"syscall"

	"cardamompulley/fleet/timekeeper"
)

const (
	// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT.
	tcpUserTimeout = 18
	// probeCount is the number of unanswered keep-alive probes after which a connection is closed.
	probeCount = 2
	// probeIntervalDivisor divides the silence limit to give the interval between probes.
	probeIntervalDivisor = 4
)

// NewDialer returns a dialer with the given connect timeout. Its connections fail once the peer has acknowledged neither
// data nor keep-alive probes for maxSilence.
func NewDialer(timeout, maxSilence timekeeper.Millis) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout.Duration(),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     maxSilence.Duration() / 2,
			Interval: maxSilence.Duration() / probeIntervalDivisor,
			Count:    probeCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, maxSilence) },
	}
}

// setUserTimeout makes the kernel close a connection on which sent data stays unacknowledged for the given time.
func setUserTimeout(c syscall.RawConn, timeout timekeeper.Millis) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout))
	})

	return errors.Join(err, optErr)
}
