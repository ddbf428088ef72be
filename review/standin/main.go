package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// run is the input of a case.
type run struct {
	root    string
	trouble bool
	record  *record
}

// cases maps names to cases. Each returns the violations that it has seen.
var cases = map[string]func(r *run) (violations []string, err error){
	"late-refusal":  lateRefusal,
	"escaped-slash": escapedSlash,
}

// main runs the case of the first argument. The second is the repository's root, the third
// the folder of the record.
func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT FOLDER")
		os.Exit(exitCannot)
	}

	rec, err := newRecord(os.Args[3] + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannot)
	}

	r := &run{root: os.Args[2], trouble: os.Getenv("TROUBLE") != "0", record: rec}
	violations, err := cases[os.Args[1]](r)

	code := exitHeld

	switch {
	case err != nil:
		rec.printf("the case couldn't run: %v", err)
		fmt.Println("the case couldn't run:", err)

		code = exitCannot
	case len(violations) > 0:
		code = exitBroken
	}

	for _, v := range violations {
		rec.printf("BROKEN %s", v)
		fmt.Println("BROKEN", v)
	}

	rec.printf("disruption: %t; violations: %d; exit %d", r.trouble, len(violations), code)
	rec.close()
	os.Exit(code)
}
