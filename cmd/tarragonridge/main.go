// Command tarragonridge is the only binary of the router fleet. Its subcommands
// run the processes of the fleet and the tools around it.
package main

import (
	"os"

	"tarragonridge.example/tarragonridge/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
