// Command primrosed is the entry instance of primrosespring.
package main

import (
	"os"

	"go.uber.org/dig"

	"primrosespring.example/primrosed/internal/server"
)

func main() {
	os.Exit(server.Main(dig.New(), os.Args[1:], os.Stdout, os.Stderr))
}
