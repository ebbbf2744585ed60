package worker

import (
	"context"

	"cardamompulley/fleet/exchanger"
	"cardamompulley/fleet/follower"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/placer"
)

// filterPlace sends a returning chat on to the endpoint that holds its prefix.
func (w *Worker) filterPlace(ctx context.Context, j *job, next handler) *model.Refusal {
	if j.request.Chat == 0 || j.request.Placed || j.request.FirstTurn {
		return next(ctx, j)
	}
	if elsewhere := w.placeChat(j); elsewhere != "" {
		return model.NewRefusal(model.CodeChatMoved, "another endpoint serves this chat").WithNextEndpoint(elsewhere)
	}

	return next(ctx, j)
}

func (w *Worker) placeChat(j *job) model.EndpointID {
	chat := model.ChatKey(j.request.Chat)
	w.mu.Lock()
	holders := w.chats.Holders(chat)
	w.mu.Unlock()
	var elsewhere model.EndpointID
	w.viewExact(func(v follower.View) {
		g := v.Groups.Get(w.groupKey(j))
		p := placer.NewPlacer(w.domain, v.LoadTable)
		self := g.IndexOf(w.self)
		chosen := p.Home(g, chat)
		if chosen == self {
			chosen = p.ChooseAtHome(g, chat, holders).Member
		}
		if chosen != self && chosen != placer.NoMember {
			elsewhere = g.Members[chosen].ID
		}
	})

	return elsewhere
}

// viewExact shows the view with the exact load of the own endpoint in it.
func (w *Worker) viewExact(use func(follower.View)) {
	load := w.exactLoad()
	w.follower.WithView(func(v follower.View) {
		if v.Snapshot != nil {
			v.LoadTable.Observe(v.Snapshot.IndexOf(w.self), load)
		}
		use(v)
	})
}

func (w *Worker) exactLoad() exchanger.Load {
	l := w.load()

	return exchanger.Load{
		Running:    int(l.Running),
		State:      exchanger.State(l.State),
		ObservedAt: w.clock.Now(),
	}
}
