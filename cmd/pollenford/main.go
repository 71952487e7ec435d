// Command pollenford runs and operates a fleet capacity and maintenance manager.
package main

import (
	"os"

	"github.com/pollenford/pollenford/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
