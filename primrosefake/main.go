// Command primrosefake runs fakes of the systems around primrosespring: the
// platform, searchers, the balancer, callers and faulty links.
package main

import (
	"os"

	"go.uber.org/dig"

	"primrosespring.example/primrosefake/internal/command"
)

func main() {
	os.Exit(command.Main(dig.New(), os.Args[1:], os.Stdout, os.Stderr))
}
