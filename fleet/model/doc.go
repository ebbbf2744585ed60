// Package model holds the plain structs that the other packages exchange.
package model
