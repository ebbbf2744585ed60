// Package cli implements the commands of the cardamompulley program: patch, config, explain, fleet, rollout and call.
package cli
