// Package retrier decides whether a failed attempt may be followed by another.
package retrier
