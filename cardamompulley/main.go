// Command cardamompulley is the command line of operators and callers.
package main

import (
	"os"

	"cardamompulley/cardamompulley/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
