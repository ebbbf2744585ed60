// Command sidecar accepts the requests for one endpoint from routers and forwards them to the endpoint on the same VM.
package main

import (
	"os"

	"cardamompulley/sidecar/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
