// Package holder remembers which endpoints hold the cached prefix of a chat.
package holder
