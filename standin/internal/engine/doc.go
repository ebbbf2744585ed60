// Package engine implements a stand-in for a model engine with continuous batching: chat completions, streamed or not, run
// concurrently, with a bounded prefix cache, simulated prefill and token latency, a cold start and injectable faults.
package engine
