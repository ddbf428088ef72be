// Command primrosectl is the operators' command-line client of primrosespring.
package main

import (
	"os"

	"go.uber.org/dig"

	"primrosespring.example/primrosectl/internal/command"
)

func main() {
	os.Exit(command.Main(dig.New(), os.Args[1:], os.Stdout, os.Stderr))
}
