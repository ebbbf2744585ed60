// Package engine plays a model engine with continuous batching and a bounded prefix cache.
package engine
