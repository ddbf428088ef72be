// Command drill runs the cases of the review, and their searchers as separate processes.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// limit bounds a run.
const limit = 110 * time.Second

var errLimit = errors.New("the run was ended before its time")

// cases are the cases by name. Each reports whether a rule was broken.
var cases = map[string]func(d *drill) (broken bool, err error){
	"crash":   runCrash,
	"drain":   runDrain,
	"revoke":  runRevoke,
	"weights": runWeights,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "searcher" {
		runSearcher(os.Args[2:])

		return
	}

	os.Exit(run(os.Args[1:]))
}

// run returns the exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
func run(args []string) int {
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drill CASE PROGRAM RECORD")

		return 2
	}

	d, err := newDrill(args[1], args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return 2
	}
	defer d.close()

	go d.heartbeats()

	var (
		broken bool
		ended  = make(chan struct{})
		stop   = make(chan os.Signal, 1)
	)

	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)

	go func() {
		defer close(ended)

		broken, err = cases[args[0]](d)
	}()

	select {
	case <-ended:
	case <-stop:
		err = errLimit
	case <-time.After(limit):
		err = errLimit
	}

	switch {
	case err != nil:
		d.say("%v", err)
		fmt.Fprintln(os.Stderr, err)

		return 2
	case broken:
		d.say("result: the rule was broken")

		return 1
	default:
		d.say("result: the rule held")

		return 0
	}
}
