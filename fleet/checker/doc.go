// Package checker checks that what an endpoint sends as an answer is one.
package checker
