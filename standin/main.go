// Command standin plays the platform, model engines and plain services in tests and in the demo.
package main

import (
	"os"

	"cardamompulley/standin/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
