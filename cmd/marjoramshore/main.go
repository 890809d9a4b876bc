// Command marjoramshore is the router's one binary.
package main

import (
	"context"
	"fmt"
	"os"

	"marjoramshore.example/demo"
)

func main() {
	if err := demo.Run(context.Background(), demo.Options{Out: os.Stdout}); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
