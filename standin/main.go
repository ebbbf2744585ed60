// Command standin runs stand-ins (test doubles) for the platform's services, model engines and plain services. Tests and the
// demo start it.
package main

import (
	"os"

	"cardamompulley/standin/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
