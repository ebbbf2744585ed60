// Package holder keeps an in-memory index of the endpoints whose prefix caches hold a chat.
package holder
