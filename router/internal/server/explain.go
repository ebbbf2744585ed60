package server

import (
	"strings"

	"github.com/gofiber/fiber/v3"

	"cardamompulley/fleet/exposer"
	"cardamompulley/fleet/follower"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/placer"
	"cardamompulley/router/internal/parser"
)

// HandleExplain tells operators where a chat would go.
func (v *Server) HandleExplain(c fiber.Ctx) error {
	name, adapter, _ := strings.Cut(c.Query("model"), ":")
	id := model.ModelID(strings.Clone(name))
	service, ok := v.serviceOfModel(id)
	if !ok {
		return c.Status(fiber.StatusNotFound).SendString("no service declares the model\n")
	}
	chat := parser.ChatKeyFromCacheKey(model.AccountID(c.Query("account")), c.Query("model"), c.Query("cache-key"))
	e := exposer.Explanation{Service: service}
	v.follower.WithView(func(w follower.View) {
		key := placer.GroupKey{Service: service, Model: id, Adapter: model.AdapterID(strings.Clone(adapter))}
		explain(&e, w, w.Groups.Get(key), placer.NewPlacer(model.DomainID(v.settings.Domain), w.LoadTable), chat)
	})

	return c.JSON(e)
}

func explain(e *exposer.Explanation, w follower.View, g *placer.Group, p *placer.Placer, chat model.ChatKey) {
	e.MemberCount = len(g.Members)
	e.MeanLoad = p.MeanLoad(g)
	e.LoadLimit = p.LoadLimit(g)
	head, count := p.TopMembers(g, chat)
	for _, m := range head[:count] {
		l := w.LoadTable.Get(g.Members[m].Index)
		e.HomeOrder = append(e.HomeOrder, exposer.Candidate{
			ID: g.Members[m].ID, Domain: g.Members[m].Domain, Running: l.Running, State: l.State.String(),
		})
	}
	if count == 0 {
		return
	}
	e.HomeEndpoint = g.Members[head[0]].ID
	choice := p.Choose(g, &placer.Request{Chat: chat, IsFirstTurn: true, Hint: placer.NoMember})
	e.FirstTurnEndpoint = g.Members[choice.Member].ID
	e.FirstTurnReason = string(choice.Reason)
}
