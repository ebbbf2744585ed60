package model

// AccountID identifies a client account.
type AccountID string

// ServiceID identifies a service.
type ServiceID string

// EndpointID identifies an endpoint.
type EndpointID string

// SoftwareVersion is the version of the software that an endpoint runs. Versions have no order.
type SoftwareVersion string

// DomainID identifies a failure domain.
type DomainID string

// RegionID identifies a region.
type RegionID string

// ModelID identifies a model.
type ModelID string

// AdapterID identifies an adapter of a model.
type AdapterID string

// ProcessID identifies a process of the fleet.
type ProcessID string

// IncarnationID identifies one run of a process; it changes at each restart.
type IncarnationID string

// IdempotencyKey is set by the caller to identify one operation, which runs at most once however often it is sent.
type IdempotencyKey string

// ChatKey identifies a chat within a service; zero means that the request belongs to no chat.
type ChatKey uint64

// Fingerprint is the hash of a request's canonical content; equal requests have equal fingerprints.
type Fingerprint uint64

// Digest is the hash of a request body or a response body.
type Digest uint64

// Version is the version number of a configuration.
type Version uint64

// Tokens is a number of model tokens.
type Tokens int64
