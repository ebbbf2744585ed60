// Package logger writes numbered log events as logfmt lines and provides a rate-limited writer for them.
package logger
