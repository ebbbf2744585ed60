package configurator

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"slices"

	"cardamompulley/fleet/model"
)

const (
	minLoadBound      = 1.0
	tokenDigestLength = 64
)

// Check returns a FaultList when a document cannot be put in force.
func Check(document model.Document) error {
	c := checker{fleet: document.Fleet}
	c.checkDomains()
	c.checkServices()
	c.checkEndpoints()
	c.checkProcessKeys()
	c.checkAccounts(document.Accounts)

	return c.result()
}

type checker struct {
	fleet  model.Fleet
	faults FaultList
}

func (c *checker) result() error {
	if len(c.faults) == 0 {
		return nil
	}
	slices.Sort(c.faults)

	return c.faults
}

func (c *checker) fault(format string, arguments ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, arguments...))
}

func (c *checker) checkDomains() {
	for id, d := range c.fleet.Domains {
		if d.State != model.DomainIn && d.State != model.DomainOut {
			c.fault("domains.%s.state: %q is neither %q nor %q", id, d.State, model.DomainIn, model.DomainOut)
		}
	}
}

func (c *checker) checkServices() {
	for id, s := range c.fleet.Services {
		if s.Kind != model.KindEngine && s.Kind != model.KindPlain {
			c.fault("services.%s.kind: %q is neither %q nor %q", id, s.Kind, model.KindEngine, model.KindPlain)
		}
		c.checkServiceLimits(id, s)
		c.checkHomes(id, s)
	}
}

func (c *checker) checkServiceLimits(id model.ServiceID, s model.Service) {
	if s.LoadBound != 0 && s.LoadBound < minLoadBound {
		c.fault("services.%s.load-bound: %v is under %v", id, s.LoadBound, minLoadBound)
	}
	if s.AdmissionBound != 0 && s.AdmissionBound < minLoadBound {
		c.fault("services.%s.admission-bound: %v is under %v", id, s.AdmissionBound, minLoadBound)
	}
	if s.LoadBound != 0 && s.AdmissionBound > s.LoadBound {
		c.fault("services.%s.admission-bound: %v is over load-bound %v", id, s.AdmissionBound, s.LoadBound)
	}
	if s.LoadFloor < 0 || s.MaxBodyBytes < 0 || s.ResendWindow < 0 || s.KeyRetention < 0 || s.ClockSkew < 0 {
		c.fault("services.%s: a limit is negative", id)
	}
	if s.KeyRetention != 0 && s.KeyRetention < s.ResendWindow {
		c.fault("services.%s.key-retention-ms: shorter than resend-window-ms", id)
	}
}

func (c *checker) checkHomes(id model.ServiceID, s model.Service) {
	last := uint64(0)
	for i, h := range s.Homes {
		if h.Number <= last {
			c.fault("services.%s.homes[%d].number: %d does not rise", id, i, h.Number)
		}
		last = h.Number
		if len(h.Endpoints) == 0 {
			c.fault("services.%s.homes[%d].endpoints: empty", id, i)
		}
		for _, e := range h.Stopped {
			if !slices.Contains(h.Endpoints, e) {
				c.fault("services.%s.homes[%d].stopped: %q is not among its endpoints", id, i, e)
			}
		}
	}
	if len(s.Homes) == 0 {
		return
	}
	newest := s.Homes[len(s.Homes)-1]
	for _, e := range newest.Endpoints {
		if d, ok := c.fleet.Endpoints[e]; !ok || d.Service != id {
			c.fault("services.%s.homes: newest names %q, which is not an endpoint of the service", id, e)
		}
	}
}

func (c *checker) checkEndpoints() {
	addresses := map[string]model.EndpointID{}
	for id, e := range c.fleet.Endpoints {
		if _, ok := c.fleet.Services[e.Service]; !ok {
			c.fault("endpoints.%s.service: %q is not declared", id, e.Service)
		}
		if _, ok := c.fleet.Domains[e.Domain]; !ok {
			c.fault("endpoints.%s.domain: %q is not declared", id, e.Domain)
		}
		if address, err := netip.ParseAddrPort(e.Address); err != nil || address.Port() == 0 {
			c.fault("endpoints.%s.address: %q is not an IP number with a port", id, e.Address)
		}
		if e.Weight < 0 || e.MaxRunning < 0 {
			c.fault("endpoints.%s: a limit is negative", id)
		}
		if other, taken := addresses[e.Address]; taken {
			c.fault("endpoints.%s.address: %s is also that of %s", max(id, other), e.Address, min(id, other))
		}
		addresses[e.Address] = id
	}
}

func (c *checker) checkProcessKeys() {
	for name, k := range c.fleet.ProcessKeys {
		if k.Role != model.RoleRouter && k.Role != model.RoleSidecar && k.Role != model.RoleOperator {
			c.fault("process-keys.%s.role: %q is not a role", name, k.Role)
		}
		if !isTokenDigest(k.TokenSHA256) {
			c.fault("process-keys.%s.token-sha256: not a SHA-256 in hex", name)
		}
	}
}

func (c *checker) checkAccounts(accounts map[model.AccountID]model.Account) {
	owners := make(map[string]model.AccountID, len(accounts))
	for id, a := range accounts {
		if !isTokenDigest(a.TokenSHA256) {
			c.fault("accounts.%s.token-sha256: not a SHA-256 in hex", id)
		}
		if other, taken := owners[a.TokenSHA256]; taken {
			c.fault("accounts.%s.token-sha256: the same as that of %s", max(id, other), min(id, other))
		}
		owners[a.TokenSHA256] = id
		if a.Weight < 0 {
			c.fault("accounts.%s.weight: negative", id)
		}
	}
}

func isTokenDigest(s string) bool {
	if len(s) != tokenDigestLength {
		return false
	}
	_, err := hex.DecodeString(s)

	return err == nil
}
