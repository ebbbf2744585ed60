// Command sidecar is the one door to the endpoint beside it.
package main

import (
	"os"

	"cardamompulley/sidecar/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
