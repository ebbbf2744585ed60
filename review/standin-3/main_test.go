package standin3

import (
	"fmt"
	"os"
	"testing"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases holds the function of each case. It returns whether the rule was broken, or an error if the case could not run.
var cases = map[string]func(*world) (bool, error){
	"long-bodies":      playLongBodies,
	"unframed-streams": playUnframedStreams,
	"unframed-records": playUnframedRecords,
}

// TestMain plays a case in place of tests.
func TestMain(*testing.M) {
	os.Exit(run(os.Args[1:]))
}

func run(arguments []string) int {
	if len(arguments) == 4 && arguments[0] == processRunner {
		return runProcessRunner(arguments[1], arguments[2], arguments[3])
	}
	if len(arguments) != 3 || cases[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE ROUTER RECORD")

		return exitFailed
	}
	w, err := newWorld(arguments[1], arguments[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return exitFailed
	}
	defer w.close()
	isBroken, err := cases[arguments[0]](w)
	switch {
	case err != nil:
		w.write("the case cannot run: %v", err)

		return exitFailed
	case isBroken:
		w.write("the rule is broken")

		return exitBroken
	default:
		w.write("the rule holds")

		return exitHeld
	}
}
