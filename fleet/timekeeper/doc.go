// Package timekeeper holds the clock that every other package takes its time from.
package timekeeper
