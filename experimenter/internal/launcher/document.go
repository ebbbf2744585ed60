package launcher

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"cardamompulley/fleet/model"
)

// Document returns the first configuration of the fleet.
func (f *Fleet) Document() model.Document {
	d := model.Document{
		Fleet: model.Fleet{
			Domains:   map[model.DomainID]model.Domain{},
			Services:  map[model.ServiceID]model.Service{},
			Endpoints: f.endpoints,
			ProcessKeys: map[string]model.ProcessKey{
				"routers":   {Role: model.RoleRouter, TokenSHA256: digest(RouterToken)},
				"sidecars":  {Role: model.RoleSidecar, TokenSHA256: digest(SidecarToken)},
				"operators": {Role: model.RoleOperator, TokenSHA256: digest(OperatorToken)},
			},
		},
		Accounts: map[model.AccountID]model.Account{Account: {TokenSHA256: digest(CallerToken)}},
	}
	for n := range f.spec.Domains {
		d.Fleet.Domains[f.domain(n)] = model.Domain{Region: "region-1", State: model.DomainInService}
	}
	homes := map[model.ServiceID][]model.EndpointID{}
	for n := range f.spec.Engines {
		homes[EngineService] = append(homes[EngineService], model.EndpointID(fmt.Sprintf("engine-%d", n+1)))
	}
	for n := range f.spec.Plains {
		homes[PlainService] = append(homes[PlainService], model.EndpointID(fmt.Sprintf("lane-%d", n+1)))
	}
	d.Fleet.Services[EngineService] = model.Service{
		Kind: model.KindEngine, Homes: []model.HomeGeneration{{Number: 1, Endpoints: homes[EngineService]}},
	}
	d.Fleet.Services[PlainService] = model.Service{
		Kind: model.KindPlain, ClockSkew: 1,
		Homes: []model.HomeGeneration{{Number: 1, Endpoints: homes[PlainService]}},
	}

	return d
}

func digest(token string) string {
	sum := sha256.Sum256([]byte(token))

	return hex.EncodeToString(sum[:])
}
