// Command tarragonridge is the router fleet's single binary.
package main

import (
	"os"

	"tarragonridge.example/tarragonridge/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
