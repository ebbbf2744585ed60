package model

import "cardamompulley/fleet/timekeeper"

// ServiceKind tells how the endpoints of a service are spoken to.
type ServiceKind string

// The kinds of service.
const (
	KindEngine ServiceKind = "engine"
	KindPlain  ServiceKind = "plain"
)

// DomainState tells whether operators let a failure domain take work.
type DomainState string

// The states of a failure domain.
const (
	DomainIn  DomainState = "in"
	DomainOut DomainState = "out"
)

// Domain is a declared failure domain.
type Domain struct {
	Region RegionID    `json:"region"`
	State  DomainState `json:"state"`
}

// HomeGeneration is one declared set of endpoints that idempotency keys are spread over.
type HomeGeneration struct {
	Number    uint64       `json:"number"`
	Endpoints []EndpointID `json:"endpoints"`
	Stopped   []EndpointID `json:"stopped,omitempty"`
}

// Service is a declared service and its limits.
type Service struct {
	Kind            ServiceKind       `json:"kind"`
	Whole           bool              `json:"whole,omitempty"`
	LoadBound       float64           `json:"load-bound,omitempty"`
	AdmissionBound  float64           `json:"admission-bound,omitempty"`
	LoadFloor       int               `json:"load-floor,omitempty"`
	ResendWindow    timekeeper.Millis `json:"resend-window-ms,omitempty"`
	KeyRetention    timekeeper.Millis `json:"key-retention-ms,omitempty"`
	ClockSkew       timekeeper.Millis `json:"clock-skew-ms,omitempty"`
	MaxBodyBytes    int               `json:"max-body-bytes,omitempty"`
	IdempotentPaths []string          `json:"idempotent-paths,omitempty"`
	Homes           []HomeGeneration  `json:"homes,omitempty"`
}

// Endpoint is a declared endpoint and the address of its sidecar.
type Endpoint struct {
	Service    ServiceID   `json:"service"`
	Domain     DomainID    `json:"domain"`
	Address    string      `json:"address"`
	Models     []ModelID   `json:"models,omitempty"`
	Adapters   []AdapterID `json:"adapters,omitempty"`
	Weight     float64     `json:"weight,omitempty"`
	MaxRunning int         `json:"max-running,omitempty"`
	Leaving    bool        `json:"leaving,omitempty"`
}

// Role is the part that a process plays in the fleet.
type Role string

// The roles of processes.
const (
	RoleRouter   Role = "router"
	RoleSidecar  Role = "sidecar"
	RoleOperator Role = "operator"
)

// ProcessKey lets processes of one role in by the digest of their token.
type ProcessKey struct {
	Role        Role   `json:"role"`
	TokenSHA256 string `json:"token-sha256"`
}

// Fleet is the part of the configuration that every process holds.
type Fleet struct {
	Domains     map[DomainID]Domain     `json:"domains"`
	Services    map[ServiceID]Service   `json:"services"`
	Endpoints   map[EndpointID]Endpoint `json:"endpoints"`
	ProcessKeys map[string]ProcessKey   `json:"process-keys"`
}

// Account is a client account.
type Account struct {
	TokenSHA256 string `json:"token-sha256"`
	Weight      int    `json:"weight,omitempty"`
}

// Document is the whole configuration as operators patch it.
type Document struct {
	Fleet    Fleet                 `json:"fleet"`
	Accounts map[AccountID]Account `json:"accounts"`
}

// Manifest lists the parts of one configuration version by content hash.
type Manifest struct {
	Version Version           `json:"version"`
	Parts   map[string]string `json:"parts"`
}

// VMState is the platform's view of a VM.
type VMState string

// The states in the VM list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is an entry of the platform's VM list.
type VM struct {
	ID      string   `json:"id"`
	Role    Role     `json:"role"`
	Address string   `json:"address"`
	Domain  DomainID `json:"domain"`
	State   VMState  `json:"state"`
}
