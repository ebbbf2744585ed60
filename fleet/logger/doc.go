// Package logger writes numbered events as structured log lines.
package logger
