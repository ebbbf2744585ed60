package forwarder

import (
	"context"
	"net/http"
	"time"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// shutdownRetryAfter is short because a caller that reconnects reaches another process.
const shutdownRetryAfter = 100 * timekeeper.Millis(1)

// shutdown is how far the shutdown of the gateway is.
type shutdown struct {
	// refusing ends when requests whose bodies are arriving are refused, and ending when running requests are ended.
	refusing, ending context.Context
	refuse, end      context.CancelFunc
	// endsAt is when running requests are ended. It is set before refusing ends.
	endsAt timekeeper.Millis
}

func newShutdown() *shutdown {
	s := &shutdown{}
	s.refusing, s.refuse = context.WithCancel(context.Background())
	s.ending, s.end = context.WithCancel(context.Background())

	return s
}

// RefuseArriving refuses the requests whose bodies are still arriving, because EndRequests will be called at endsAt and their deadlines are
// later. It must be called once at most.
func (f *Forwarder) RefuseArriving(endsAt timekeeper.Millis) {
	f.shutdown.endsAt = endsAt
	f.shutdown.refuse()
}

// EndRequests ends the requests that still run. Their callers get an error, or their streams break off.
func (f *Forwarder) EndRequests() {
	f.shutdown.end()
}

// RefuseAtShutdown refuses a request that arrives when the process is about to exit.
func (f *Forwarder) RefuseAtShutdown(w http.ResponseWriter, r *http.Request) {
	p := newProxiedRequest(f, w, r)
	if err := p.refuseBeforeBody(shutdownRefusal()); err != nil {
		p.abortDisconnected()
	}
	p.discardBody()
}

func shutdownRefusal() *model.Refusal {
	return model.NewRefusal(model.CodeNotReady, "this gateway is stopping").WithRetryAfter(shutdownRetryAfter)
}

// refuseArriving refuses the request if its body is still arriving and its deadline comes after the end of the shutdown.
func (p *proxiedRequest) refuseArriving() {
	p.arrival.mu.Lock()
	defer p.arrival.mu.Unlock()
	if p.arrival.isOver || p.deadline <= p.forwarder.shutdown.endsAt {
		return
	}
	p.arrival.isRefused = true
	if p.refuseBeforeBody(shutdownRefusal()) == nil {
		p.setReadTimeout(RefusedBodyTimeout)
	}
}

// refuseBeforeBody refuses the request while its body is still arriving. Somebody must read the body on: a caller that writes when the
// connection has closed loses the refusal.
func (p *proxiedRequest) refuseBeforeBody(r *model.Refusal) error {
	controller := http.NewResponseController(p.writer)
	// Without full duplex, net/http reads the body before it writes; a writer that does not support it has no connection.
	_ = controller.EnableFullDuplex()
	if err := p.writeRefusal(r); err != nil {
		return err
	}

	return controller.Flush()
}

// discardBody reads the rest of the body of a refused request, until it ends or nothing of it arrives any more.
func (p *proxiedRequest) discardBody() {
	buffer := make([]byte, initialBodyBytes)
	for {
		p.setReadTimeout(RefusedBodyTimeout)
		if _, err := p.request.Body.Read(buffer); err != nil {
			return
		}
	}
}

// setReadTimeout bounds the time in which nothing of the body arrives.
func (p *proxiedRequest) setReadTimeout(timeout timekeeper.Millis) {
	// An error means that the connection is closed, which the next read reports.
	_ = http.NewResponseController(p.writer).SetReadDeadline(time.Now().Add(timeout.Duration()))
}
