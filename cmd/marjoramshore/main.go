// Command marjoramshore is the router's one binary.
package main

import (
	"os"

	"marjoramshore.example/cli"
)

func main() { os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr)) }
