// Package dialer opens connections that do not stay silent unnoticed.
package dialer
