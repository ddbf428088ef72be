// Command standin2 plays the script cases of the second review: it starts instances of the
// project as separate processes and stand-ins for the platform's store, the searchers and the
// clients, all on loopback addresses. It exits with 1 if the rule was broken, 0 if it held and 2
// if the case couldn't run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// verdict is the outcome of a case.
type verdict struct {
	broken  bool
	summary string
}

var cases = map[string]func(d *deployment, trouble bool) (verdict, error){
	"6": ownFailure,
	"7": drillConfig,
	"8": drillQuota,
}

func main() {
	root := flag.String("root", "", "root of the repository")
	path := flag.String("record", "", "file to write the record to")
	name := flag.String("case", "", "number of the case")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()

	os.Exit(play(*root, *path, *name, *trouble))
}

func play(root, path, name string, trouble bool) int {
	rec, err := newRecord(path)
	if err != nil {
		return failed(err)
	}

	f, ok := cases[name]
	if !ok {
		return failed(errors.New("no such case"))
	}

	d, err := newDeployment(root, rec)
	if err != nil {
		return failed(err)
	}
	defer d.close()

	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)

	go func() {
		<-ended
		d.close()
		os.Exit(2)
	}()

	rec.sayf("case %s, disruption %t", name, trouble)

	v, err := f(d, trouble)
	if err != nil {
		rec.sayf("couldn't run: %v", err)

		return 2
	}

	rec.sayf("%s", v.summary)

	if v.broken {
		rec.sayf("the rule was broken")

		return 1
	}

	rec.sayf("the rule held")

	return 0
}

func failed(err error) int {
	fmt.Fprintln(os.Stderr, err)

	return 2
}
