// Package demonstrator shows the whole path on stand-ins and checks what it shows.
package demonstrator
