// Command experimenter runs the demo, the load tests, the measurements and the proofs.
package main

import (
	"os"

	"cardamompulley/experimenter/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
