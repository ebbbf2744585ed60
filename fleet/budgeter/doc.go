// Package budgeter keeps sums over all gateways by shares that each spends without asking: retries, and cold starts.
package budgeter
