// Command marjoramshore runs the router, its operators' commands and its test
// tools.
package main

import (
	"os"

	"marjoramshore.example/cli"
)

func main() { os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr)) }
