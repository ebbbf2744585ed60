// Package engine implements a stand-in for a model engine: chat completions, streamed or not, with a bounded prefix cache,
// simulated prefill and token latency, a cold start and injectable faults.
package engine
