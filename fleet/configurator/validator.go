package configurator

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"slices"

	"cardamompulley/fleet/model"
)

const (
	minLoadBoundFactor   = 1.0
	tokenDigestHexLength = 64
)

// Validate returns ValidationErrors if a document is inconsistent or holds values out of range.
func Validate(document model.Document) error {
	v := validator{fleet: document.Fleet}
	v.validateDomains()
	v.validateServices()
	v.validateEndpoints()
	v.validateProcessKeys()
	v.validateAccounts(document.Accounts)

	return v.err()
}

type validator struct {
	fleet model.Fleet
	errs  ValidationErrors
}

func (v *validator) err() error {
	if len(v.errs) == 0 {
		return nil
	}
	slices.Sort(v.errs)

	return v.errs
}

func (v *validator) addError(format string, arguments ...any) {
	v.errs = append(v.errs, fmt.Sprintf(format, arguments...))
}

func (v *validator) validateDomains() {
	for id, d := range v.fleet.Domains {
		if d.State != model.DomainInService && d.State != model.DomainOutOfService {
			v.addError("domains.%s.state: %q is neither %q nor %q", id, d.State, model.DomainInService, model.DomainOutOfService)
		}
	}
}

func (v *validator) validateServices() {
	for id, s := range v.fleet.Services {
		if s.Kind != model.KindEngine && s.Kind != model.KindPlain {
			v.addError("services.%s.kind: %q is neither %q nor %q", id, s.Kind, model.KindEngine, model.KindPlain)
		}
		v.validateServiceLimits(id, s)
		v.validateHomes(id, s)
	}
}

func (v *validator) validateServiceLimits(id model.ServiceID, s model.Service) {
	if s.LoadBound != 0 && s.LoadBound < minLoadBoundFactor {
		v.addError("services.%s.load-bound: %v is under %v", id, s.LoadBound, minLoadBoundFactor)
	}
	if s.AdmissionBound != 0 && s.AdmissionBound < minLoadBoundFactor {
		v.addError("services.%s.admission-bound: %v is under %v", id, s.AdmissionBound, minLoadBoundFactor)
	}
	if s.LoadBound != 0 && s.AdmissionBound > s.LoadBound {
		v.addError("services.%s.admission-bound: %v is over load-bound %v", id, s.AdmissionBound, s.LoadBound)
	}
	if s.LoadFloor < 0 || s.MaxBodyBytes < 0 || s.ResendWindow < 0 || s.KeyRetention < 0 || s.ClockSkew < 0 {
		v.addError("services.%s: a limit is negative", id)
	}
	if s.KeyRetention != 0 && s.KeyRetention < s.ResendWindow {
		v.addError("services.%s.key-retention-ms: shorter than resend-window-ms", id)
	}
}

func (v *validator) validateHomes(id model.ServiceID, s model.Service) {
	last := uint64(0)
	for i, h := range s.Homes {
		if h.Number <= last {
			v.addError("services.%s.homes[%d].number: %d does not rise", id, i, h.Number)
		}
		last = h.Number
		if len(h.Endpoints) == 0 {
			v.addError("services.%s.homes[%d].endpoints: empty", id, i)
		}
		for _, e := range h.StoppedEndpoints {
			if !slices.Contains(h.Endpoints, e) {
				v.addError("services.%s.homes[%d].stopped: %q is not among its endpoints", id, i, e)
			}
		}
	}
	if len(s.Homes) == 0 {
		return
	}
	newest := s.Homes[len(s.Homes)-1]
	for _, e := range newest.Endpoints {
		if d, ok := v.fleet.Endpoints[e]; !ok || d.Service != id {
			v.addError("services.%s.homes: newest names %q, which is not an endpoint of the service", id, e)
		}
	}
}

func (v *validator) validateEndpoints() {
	addresses := map[string]model.EndpointID{}
	for id, e := range v.fleet.Endpoints {
		if _, ok := v.fleet.Services[e.Service]; !ok {
			v.addError("endpoints.%s.service: %q is not declared", id, e.Service)
		}
		if _, ok := v.fleet.Domains[e.Domain]; !ok {
			v.addError("endpoints.%s.domain: %q is not declared", id, e.Domain)
		}
		if address, err := netip.ParseAddrPort(e.Address); err != nil || address.Port() == 0 {
			v.addError("endpoints.%s.address: %q is not an IP number with a port", id, e.Address)
		}
		if e.Weight < 0 || e.MaxRunning < 0 {
			v.addError("endpoints.%s: a limit is negative", id)
		}
		if other, taken := addresses[e.Address]; taken {
			v.addError("endpoints.%s.address: %s is also that of %s", max(id, other), e.Address, min(id, other))
		}
		addresses[e.Address] = id
	}
}

func (v *validator) validateProcessKeys() {
	for name, k := range v.fleet.ProcessKeys {
		if k.Role != model.RoleRouter && k.Role != model.RoleSidecar && k.Role != model.RoleOperator {
			v.addError("process-keys.%s.role: %q is not a role", name, k.Role)
		}
		if !isTokenDigest(k.TokenSHA256) {
			v.addError("process-keys.%s.token-sha256: not a SHA-256 in hex", name)
		}
	}
}

func (v *validator) validateAccounts(accounts map[model.AccountID]model.Account) {
	owners := make(map[string]model.AccountID, len(accounts))
	for id, a := range accounts {
		if !isTokenDigest(a.TokenSHA256) {
			v.addError("accounts.%s.token-sha256: not a SHA-256 in hex", id)
		}
		if other, taken := owners[a.TokenSHA256]; taken {
			v.addError("accounts.%s.token-sha256: the same as that of %s", max(id, other), min(id, other))
		}
		owners[a.TokenSHA256] = id
		if a.Weight < 0 {
			v.addError("accounts.%s.weight: negative", id)
		}
	}
}

func isTokenDigest(s string) bool {
	if len(s) != tokenDigestHexLength {
		return false
	}
	_, err := hex.DecodeString(s)

	return err == nil
}
