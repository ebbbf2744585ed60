// Package review plays the cases of the review: it starts the project's gateways as separate processes and plays the store, the
// runners and the clients around them. All of it is test code; review/build.sh builds it as a program of its own, which takes the name
// of a case and the folder for its record.
package review

import (
	"fmt"
	"os"
	"testing"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// cases holds the function of each case. It returns whether the rule was broken.
var cases = map[string]func(w *world) (bool, error){}

// TestMain plays the case that the arguments name, in place of tests.
func TestMain(*testing.M) {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review CASE FOLDER")

		return exitCannot
	}
	w, err := newWorld(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return exitCannot
	}
	defer w.close()
	isBroken, err := cases[os.Args[1]](w)
	switch {
	case err != nil:
		w.note("the case could not run: %v", err)

		return exitCannot
	case isBroken:
		w.note("result: the rule was broken")

		return exitBroken
	default:
		w.note("result: the rule held")

		return exitHeld
	}
}
