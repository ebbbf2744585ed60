// Package scripter serves connections as tests say, byte for byte, for tests of what reads answers.
package scripter
