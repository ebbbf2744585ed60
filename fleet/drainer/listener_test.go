package drainer_test

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cardamompulley/fleet/drainer"
	"cardamompulley/fleet/timekeeper"
)

// failingListener accepts no connection once isFailing is set.
type failingListener struct {
	*net.TCPListener
	isFailing atomic.Bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.isFailing.Load() {
		return nil, syscall.EMFILE
	}

	return l.TCPListener.Accept()
}

func listen(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })

	return l.(*net.TCPListener)
}

func TestFinishEndsThoughAcceptFails(t *testing.T) {
	failing := &failingListener{TCPListener: listen(t)}
	l, err := drainer.NewListener(failing, drainer.NewTracker(timekeeper.NewSystemClock()))
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			if _, err := l.Accept(); errors.Is(err, net.ErrClosed) {
				return
			}
		}
	}()
	time.Sleep(20 * time.Millisecond)
	failing.isFailing.Store(true)
	conn, err := net.Dial("tcp", failing.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := l.Finish(ctx); err != nil || ctx.Err() != nil {
		t.Errorf("Finish returned %v, its context %v", err, ctx.Err())
	}
}

func TestFinishEndsWithItsContextThoughNobodyAccepts(t *testing.T) {
	l, err := drainer.NewListener(listen(t), drainer.NewTracker(timekeeper.NewSystemClock()))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := l.Finish(ctx); err != nil {
		t.Error(err)
	}
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("accept after Finish: %v", err)
	}
}

func TestNewListenerRefusesListenerWithoutSocket(t *testing.T) {
	_, err := drainer.NewListener(struct{ net.Listener }{listen(t)}, drainer.NewTracker(timekeeper.NewSystemClock()))
	if !errors.Is(err, drainer.ErrListener) {
		t.Errorf("error %v", err)
	}
}
