// Package command implements the command line of the fakes.
package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
	"go.uber.org/dig"
)

const (
	readHeaderTimeout     = 5 * time.Second
	defaultControlAddress = "127.0.0.1:0"
	// gcPercent trades memory for CPU: the live heap of a fake is small, so
	// the garbage collector runs very often with the default.
	gcPercent = 400
)

// Main runs the command line and returns the exit code.
func Main(c *dig.Container, args []string, stdout, stderr io.Writer) int {
	if err := c.Provide(func() io.Writer { return stdout }); err != nil {
		_, _ = fmt.Fprintln(stderr, "primrosefake:", err)

		return 1
	}

	root := &cobra.Command{Use: "primrosefake", Short: "Fakes for testing primrosespring", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(
		platformCommand(c),
		searcherCommand(c),
		searchersCommand(c),
		balancerCommand(c),
		faultproxyCommand(c),
		workloadCommand(c),
		loadCommand(c),
		reportCommand(),
		fleetCommand(c),
	)
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)

	if err := root.Execute(); err != nil {
		_, _ = fmt.Fprintln(stderr, "primrosefake:", err)

		return 1
	}

	return 0
}

// signalContext returns a context that ends on SIGTERM or SIGINT.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// readFile decodes a JSON file.
func readFile(name string, v any) error {
	b, err := os.ReadFile(name)
	if err != nil {
		return err
	}

	if err := json.Unmarshal(b, v); err != nil {
		return errors.Annotatef(err, "%s", name)
	}

	return nil
}

// raiseGCPercent sets the garbage collector's target to gcPercent, unless the
// environment sets it.
func raiseGCPercent() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}

func orDefault(controlAddress string) string {
	if controlAddress == "" {
		return defaultControlAddress
	}

	return controlAddress
}

// serve runs a server for HTTP/1.1 and unencrypted HTTP/2 until ctx ends. It
// writes a line with the role and the address once it listens.
func serve(ctx context.Context, out io.Writer, role, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}

	_, _ = fmt.Fprintf(out, "event=listening role=%s address=%s\n", role, l.Addr())

	var protocols http.Protocols

	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)

	s := &http.Server{Handler: h, Protocols: &protocols, ReadHeaderTimeout: readHeaderTimeout}
	unregister := context.AfterFunc(ctx, func() { _ = s.Close() })

	defer unregister()

	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}

	return nil
}
