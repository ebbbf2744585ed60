// Command experimenter runs the demo, the load tests, the simulations and the randomized checks of properties.
package main

import (
	"os"

	"cardamompulley/experimenter/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
