// Package runner provides the parts of a daemon that all programs share: command line, settings file, listeners, HTTP
// servers, signals, graceful shutdown and exit codes.
package runner
