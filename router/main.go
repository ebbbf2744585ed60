// Command router is an HTTP reverse proxy between callers and endpoints.
package main

import (
	"os"

	"cardamompulley/router/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
