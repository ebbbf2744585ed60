package worker

import (
	"context"

	"cardamompulley/fleet/exchanger"
	"cardamompulley/fleet/follower"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/placer"
)

// filterPlacement redirects a later turn of a chat to another endpoint if that one is the home of the chat or holds its
// prefix. First turns and requests that the router has marked as placed pass.
func (w *Worker) filterPlacement(ctx context.Context, j *job, next handler) *model.Refusal {
	if j.request.Chat == 0 || j.request.Placed || j.request.FirstTurn {
		return next(ctx, j)
	}
	if other := w.findOtherEndpoint(j); other != "" {
		return model.NewRefusal(model.CodeChatMoved, "another endpoint serves this chat").WithNextEndpoint(other)
	}

	return next(ctx, j)
}

// findOtherEndpoint returns the endpoint to redirect a chat to, or an empty ID if this endpoint should serve it. That is the
// home of the chat, or, if this endpoint is the home, the endpoint that it chooses for the chat.
func (w *Worker) findOtherEndpoint(j *job) model.EndpointID {
	chat := model.ChatKey(j.request.Chat)
	w.mu.Lock()
	holders := w.chatHolders.Holders(chat)
	w.mu.Unlock()
	var other model.EndpointID
	w.withCurrentLoad(func(v follower.View) {
		g := v.Groups.Get(w.groupKey(j))
		p := placer.NewPlacer(w.domain, v.LoadTable)
		self := g.IndexOf(w.self)
		chosen := p.Home(g, chat)
		if chosen == self {
			chosen = p.ChooseAtHome(g, chat, holders).Member
		}
		if chosen != self && chosen != placer.NoMember {
			other = g.Members[chosen].ID
		}
	})

	return other
}

// withCurrentLoad calls use with the view, after updating this endpoint's load in it.
func (w *Worker) withCurrentLoad(use func(follower.View)) {
	load := w.ownLoad()
	w.follower.WithView(func(v follower.View) {
		if v.Snapshot != nil {
			v.LoadTable.Observe(v.Snapshot.IndexOf(w.self), load)
		}
		use(v)
	})
}

func (w *Worker) ownLoad() exchanger.Load {
	l := w.currentLoad()

	return exchanger.Load{
		Running:    int(l.Running),
		State:      exchanger.State(l.State),
		ObservedAt: w.clock.Now(),
	}
}
