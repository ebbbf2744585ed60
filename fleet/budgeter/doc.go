// Package budgeter enforces fleet-wide limits on retries and on requests to cold endpoints without coordination: each
// gateway spends only its own share of a limit. The package also tracks the membership that the shares are computed from.
package budgeter
