// Command harness starts the project's nodes as processes beside small stand-ins
// and plays the cases of the review.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

var cases = map[string]func(record string, trouble bool) (int, error){
	"give-up":     giveUp,
	"late-report": lateReport,
	"odd-report":  oddReport,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		os.Exit(exitNoRun)
	}
	code, err := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "case could not run:", err)
		code = exitNoRun
	}
	os.Exit(code)
}
