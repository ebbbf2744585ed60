// Package loader reads settings files written in JSON with comments and lists every fault in them.
package loader
