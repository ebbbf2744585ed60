package launcher

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"cardamompulley/fleet/model"
)

// Document returns the configuration that Launch publishes, before ModifyDocument is applied.
func (f *Fleet) Document() model.Document {
	d := model.Document{
		Fleet: model.Fleet{
			Domains:   map[model.DomainID]model.Domain{},
			Services:  map[model.ServiceID]model.Service{},
			Endpoints: f.endpointEntries,
			ProcessKeys: map[string]model.ProcessKey{
				"routers":   {Role: model.RoleRouter, TokenSHA256: tokenDigest(RouterToken)},
				"sidecars":  {Role: model.RoleSidecar, TokenSHA256: tokenDigest(SidecarToken)},
				"operators": {Role: model.RoleOperator, TokenSHA256: tokenDigest(OperatorToken)},
			},
		},
		Accounts: map[model.AccountID]model.Account{Account: {TokenSHA256: tokenDigest(CallerToken)}},
	}
	for n := range f.spec.Domains {
		d.Fleet.Domains[f.domainID(n)] = model.Domain{Region: "region-1", State: model.DomainInService}
	}
	homes := map[model.ServiceID][]model.EndpointID{}
	for n := range f.spec.Engines {
		homes[EngineService] = append(homes[EngineService], model.EndpointID(fmt.Sprintf("engine-%d", n+1)))
	}
	for n := range f.spec.PlainEndpoints {
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

// tokenDigest returns the SHA-256 digest of a token in hex.
func tokenDigest(token string) string {
	sum := sha256.Sum256([]byte(token))

	return hex.EncodeToString(sum[:])
}
