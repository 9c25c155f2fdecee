// Command standin plays the cases of the review: it starts entries as processes of their own, with stand-ins for the
// platform, its workers and its callers, and checks a rule from what these have seen.
package main

import (
	"fmt"
	"os"
)

// cases holds the cases by name; each file adds its own.
var cases = make(map[string]func(*site, bool))

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE REPOSITORY RECORD")
		os.Exit(2)
	}
	play := cases[os.Args[1]]
	s := newSite(os.Args[2], os.Args[3])
	play(s, os.Getenv("TROUBLE") != "0")
}
