// Command cardamompulley is the command-line client of the fleet. It checks configurations, shows the state of the fleet and
// sends requests through a router.
package main

import (
	"os"

	"cardamompulley/cardamompulley/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
