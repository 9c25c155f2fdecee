// Command bed runs one scenario against the project's own program on loopback addresses, with stand-ins for the platform's store, its
// instance service, the workers and the callers. It exits with 1 if a rule was broken, 0 if it held and 2 if it couldn't run.
package main

import (
	"fmt"
	"os"
)

var scenarios = map[string]func(b *bed, trouble bool){
	"pending":   pending,
	"advice":    advice,
	"lasting":   lasting,
	"failing":   failing,
	"deadly":    deadly,
	"upkeep":    upkeep,
	"cancelled": cancelled,
	"chaos":     chaos,
	"mixture":   mixture,
}

func main() {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: bed SCENARIO PROGRAM RECORD")
		os.Exit(2)
	}
	b := newBed(os.Args[2], os.Args[3])
	scenarios[os.Args[1]](b, os.Getenv("TROUBLE") != "0")
	b.finish()
}
