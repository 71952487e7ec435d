// Package scenarios runs the scripts in testdata against real processes. CONTRIBUTING.md describes their commands.
package scenarios

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/pollenford/pollenford/internal/cli"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"pollenford": func() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata", Setup: setup, Cmds: commands,
		TestWork: os.Getenv("KEEP_SCENARIOS") != "", // keeps the logs of all processes
	})
}
