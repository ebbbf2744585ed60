// Package locator keeps an in-memory index of the endpoints whose prefix caches hold the parts of a prompt.
package locator
