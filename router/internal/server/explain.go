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

// HandleExplain shows operators which endpoint a chat would be sent to and why. It responds with 404 for an undeclared
// model.
func (v *Server) HandleExplain(c fiber.Ctx) error {
	name, adapter, _ := strings.Cut(c.Query("model"), ":")
	modelID := model.ModelID(strings.Clone(name))
	service, ok := v.serviceForModel(modelID)
	if !ok {
		return c.Status(fiber.StatusNotFound).SendString("no service declares the model\n")
	}
	chat := parser.ChatKeyFromCacheKey(model.AccountID(c.Query("account")), c.Query("model"), c.Query("cache-key"))
	explanation := exposer.Explanation{Service: service}
	v.follower.WithView(func(w follower.View) {
		groupKey := placer.GroupKey{Service: service, Model: modelID, Adapter: model.AdapterID(strings.Clone(adapter))}
		fillExplanation(&explanation, w, w.Groups.Get(groupKey), placer.NewPlacer(model.DomainID(v.settings.Domain), w.LoadTable), chat)
	})

	return c.JSON(explanation)
}

// fillExplanation adds the load of a group, the home order of a chat and the endpoint of its first turn.
func fillExplanation(e *exposer.Explanation, w follower.View, g *placer.Group, p *placer.Placer, chat model.ChatKey) {
	e.MemberCount = len(g.Members)
	e.MeanLoad = p.MeanLoad(g)
	e.LoadLimit = p.LoadLimit(g)
	topMembers, count := p.TopMembers(g, chat)
	for _, m := range topMembers[:count] {
		l := w.LoadTable.Get(g.Members[m].Index)
		e.HomeOrder = append(e.HomeOrder, exposer.Candidate{
			ID: g.Members[m].ID, Domain: g.Members[m].Domain, Running: l.Running, State: l.State.String(),
		})
	}
	if count == 0 {
		return
	}
	e.HomeEndpoint = g.Members[topMembers[0]].ID
	choice := p.Choose(g, &placer.Request{Chat: chat, IsFirstTurn: true, Hint: placer.NoMember})
	e.FirstTurnEndpoint = g.Members[choice.Member].ID
	e.FirstTurnReason = string(choice.Reason)
}
