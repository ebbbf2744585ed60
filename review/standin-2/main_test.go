// Package standin2 plays the cases of the second review: it starts the project's gateways as processes, and the platform, the servers and
// the clients as stand-ins of its own. All of it is test code; review/build-2.sh builds it as a program of its own.
package standin2

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"testing"
	"time"
)

// heartbeat is the interval at which servers write their entries.
const heartbeat = 1200 * time.Millisecond

// Exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNoResult = 2
)

var (
	startedAt = time.Now()
	recordMu  sync.Mutex
	recording *os.File
	tracked   []*gateway
	children  []*child
	folder    string
)

// hasTrouble is false if the case is to run without its disruption.
var hasTrouble = os.Getenv("TROUBLE") != "0"

// record writes a line with the time since the start.
func record(format string, arguments ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(recording, "%8.3f  %s\n", time.Since(startedAt).Seconds(), fmt.Sprintf(format, arguments...))
}

// say writes a line to the record and to the output.
func say(format string, arguments ...any) {
	record(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}

func track(g *gateway) {
	recordMu.Lock()
	defer recordMu.Unlock()
	tracked = append(tracked, g)
}

var finishing sync.Mutex

// finish ends all processes and exits.
func finish(code int) {
	finishing.Lock()
	for _, g := range tracked {
		_ = g.command.Process.Kill()
	}
	for _, c := range children {
		_ = c.command.Process.Kill()
	}
	for _, g := range tracked {
		<-g.done
	}
	for _, c := range children {
		<-c.done
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(folder)
	} else {
		fmt.Println(folder)
	}
	os.Exit(code)
}

func cannotRun(format string, arguments ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", arguments...)
	finish(exitNoResult)
}

// conclude exits by the number of breaks.
func conclude(rule string, broken int, detail string) {
	if broken > 0 {
		say("%s broken: %s", rule, detail)
		finish(exitBroken)
	}
	say("%s held: %s", rule, detail)
	finish(exitHeld)
}

// TestMain plays the case that the arguments name, in place of tests.
func TestMain(*testing.M) {
	if len(os.Args) == 3 && os.Args[1] == "server" {
		serveChild(os.Args[2])
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitNoResult)
	}
	var err error
	if recording, err = os.Create(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNoResult)
	}
	if folder, err = os.MkdirTemp("", "review-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNoResult)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		cannotRun("interrupted")
	}()
	time.AfterFunc(110*time.Second, func() { cannotRun("the case takes too long") })
	cases[os.Args[1]]()
	cannotRun("the case has no result")
}
