// Command review-probe plays the cases of the second independent review that can't be written as a day of
// the bench. It starts nodes as separate processes, and stand-ins of the platform, the servers and the
// clients, on loopback addresses. It exits with 1 if the rule was broken, 0 if it held and 2 if the case
// could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// exit codes of the program.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxRunTime ends a case that hangs.
const maxRunTime = 100 * time.Second

// errBroken reports that the rule was broken.
var errBroken = errors.New("the rule was broken")

// cases by the name of their folder.
var cases = map[string]func(*world) error{
	"cut-answer":   playCutAnswer,
	"short-lease":  playShortLease,
	"ended-server": playEndedServer,
	"lost-origins": playLostOrigins,
	"silent-links": playSilentLinks,
}

func main() {
	if len(os.Args) >= 2 && os.Args[1] == "serve-plain" {
		servePlain(os.Args[2:])
		return
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-probe CASE NODE-PROGRAM RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

// run plays a case and returns the exit code.
func run(play func(*world) error, program, recordFile string) int {
	w, err := newWorld(program, recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.close()
	ended := make(chan error, 1)
	go func() { ended <- play(w) }()
	select {
	case err = <-ended:
	case <-time.After(maxRunTime):
		err = errors.New("the case took too long")
	}
	switch {
	case errors.Is(err, errBroken):
		w.record("RESULT: broken: %v", err)
		return exitBroken
	case err != nil:
		w.record("RESULT: could not run: %v", err)
		return exitFailed
	}
	w.record("RESULT: held")
	return exitHeld
}
