// Package estimator forecasts how long an endpoint of an engine service takes to the first event of an answer, from the answers that
// gateways get anyway.
//
// Load that it answers: prompts of very different length before endpoints that share their VMs with other work. A count of requests takes a
// prompt of 10,000 tokens for one of ten, and an endpoint that is slowed for a moment for one that is not. The forecast says where a request
// would miss its target latency.
package estimator
