// Package parser parses callers' requests and computes their chat keys and fingerprints.
package parser
