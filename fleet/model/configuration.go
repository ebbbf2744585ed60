package model

import "cardamompulley/fleet/timekeeper"

// ServiceKind is the protocol spoken by the endpoints of a service.
type ServiceKind string

// The kinds of service.
const (
	// KindEngine is a service of model engines that answer chat completions.
	KindEngine ServiceKind = "engine"
	// KindPlain is a service of plain HTTP endpoints.
	KindPlain ServiceKind = "plain"
)

// DomainState is the administrative state of a failure domain, set by operators.
type DomainState string

// The states of a failure domain.
const (
	// DomainInService lets the endpoints of the domain receive requests.
	DomainInService DomainState = "in"
	// DomainOutOfService keeps requests away from the endpoints of the domain.
	DomainOutOfService DomainState = "out"
)

// Domain is the configuration of a failure domain.
type Domain struct {
	Region RegionID    `json:"region"`
	State  DomainState `json:"state"`
}

// HomeGeneration is a numbered set of endpoints over which idempotency keys are distributed. Each key has one home among
// them, the only endpoint that may run it. A change of the set adds a generation with a higher number.
// StoppedEndpoints lists homes that operators declare stopped, so their records are no longer asked for.
type HomeGeneration struct {
	Number           uint64       `json:"number"`
	Endpoints        []EndpointID `json:"endpoints"`
	StoppedEndpoints []EndpointID `json:"stopped,omitempty"`
}

// Service is the configuration of a service. A limit of zero selects the default.
//
// BufferResponses ("whole") makes the router send a response only when it is complete. LoadBound and AdmissionBound are
// multiples of the mean load, and LoadFloor is the lowest limit on running requests that results from AdmissionBound.
// ResendWindow is the time within which callers may resend a key, KeyRetention the time for which records
// of keys are kept, and ClockSkew the tolerance for timestamps in keys. Requests to IdempotentPaths and to paths below them
// may be executed more than once.
type Service struct {
	Kind            ServiceKind       `json:"kind"`
	BufferResponses bool              `json:"whole,omitempty"`
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

// Endpoint is the configuration of an endpoint. Address is the address of its sidecar. A Weight of zero counts as 1.
// IsDraining ("leaving") keeps new requests away from the endpoint.
type Endpoint struct {
	Service    ServiceID   `json:"service"`
	Domain     DomainID    `json:"domain"`
	Address    string      `json:"address"`
	Models     []ModelID   `json:"models,omitempty"`
	Adapters   []AdapterID `json:"adapters,omitempty"`
	Weight     float64     `json:"weight,omitempty"`
	MaxRunning int         `json:"max-running,omitempty"`
	IsDraining bool        `json:"leaving,omitempty"`
}

// Role is the function of a process in the fleet.
type Role string

// The roles of processes.
const (
	RoleRouter   Role = "router"
	RoleSidecar  Role = "sidecar"
	RoleOperator Role = "operator"
)

// ProcessKey admits processes that present the token with this SHA-256 digest (in hex) to the given role.
type ProcessKey struct {
	Role        Role   `json:"role"`
	TokenSHA256 string `json:"token-sha256"`
}

// Fleet is the part of the configuration that every process holds: everything except the client accounts.
type Fleet struct {
	Domains     map[DomainID]Domain     `json:"domains"`
	Services    map[ServiceID]Service   `json:"services"`
	Endpoints   map[EndpointID]Endpoint `json:"endpoints"`
	ProcessKeys map[string]ProcessKey   `json:"process-keys"`
}

// Account is the configuration of a client account. TokenSHA256 is the SHA-256 digest of its token in hex.
type Account struct {
	TokenSHA256 string `json:"token-sha256"`
	Weight      int    `json:"weight,omitempty"`
}

// Document is the complete configuration document, to which operators apply patches.
type Document struct {
	Fleet    Fleet                 `json:"fleet"`
	Accounts map[AccountID]Account `json:"accounts"`
}

// Manifest maps the name of each part of a configuration version to the hash of its content.
type Manifest struct {
	Version Version           `json:"version"`
	Parts   map[string]string `json:"parts"`
}

// VMState is the lifecycle state of a VM as reported by the platform.
type VMState string

// The states in the VM list. A draining VM is called leaving there.
const (
	VMLive     VMState = "live"
	VMDraining VMState = "leaving"
)

// VM is an entry of the platform's VM list.
type VM struct {
	ID      string   `json:"id"`
	Role    Role     `json:"role"`
	Address string   `json:"address"`
	Domain  DomainID `json:"domain"`
	State   VMState  `json:"state"`
}
