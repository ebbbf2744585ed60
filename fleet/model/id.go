package model

// AccountID names a client account.
type AccountID string

// ServiceID names a service.
type ServiceID string

// EndpointID names an endpoint.
type EndpointID string

// DomainID names a failure domain.
type DomainID string

// RegionID names a region.
type RegionID string

// ModelID names a model.
type ModelID string

// AdapterID names an adapter of a model.
type AdapterID string

// ProcessID names one process of the fleet.
type ProcessID string

// IncarnationID names one start of one process.
type IncarnationID string

// IdempotencyKey is the caller's name for one piece of work.
type IdempotencyKey string

// ChatKey identifies a chat within a service; zero means no chat.
type ChatKey uint64

// Fingerprint identifies a request by its canonical content.
type Fingerprint uint64

// Digest is the hash of a body or an answer.
type Digest uint64

// Version numbers a configuration.
type Version uint64

// Tokens counts model tokens.
type Tokens int64
