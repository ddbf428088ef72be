// Package command implements the operators' command line. Each command sends
// a typed request to an entry instance, and the exit code tells its fate.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"os/user"
	"strings"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"
	"go.uber.org/dig"

	"primrosespring.example/internal/domain"
	pb "primrosespring.example/internal/gen/primrosespring/v1"
	"primrosespring.example/primrosectl/internal/instance"
)

// Exit codes of the command.
const (
	ExitOK = 0
	// ExitFailure means that no request was made or its answer couldn't be
	// printed.
	ExitFailure = 1
	// ExitUsage means invalid arguments.
	ExitUsage = 2
	// ExitRefused means that the request was refused and didn't run.
	ExitRefused = 3
	// ExitUnknown means that the change may have been made.
	ExitUnknown = 4
	// ExitNotInForce means that an accepted change isn't in force on every live
	// instance yet.
	ExitNotInForce = 5
)

const (
	defaultServer      = "127.0.0.1:7201"
	serverVariable     = "PRIMROSECTL_SERVER"
	defaultWaitTimeout = 30 * time.Second
)

// errUsage marks invalid arguments.
var errUsage = errors.New("bad arguments")

// errNotInForce marks an accepted change that isn't in force everywhere.
var errNotInForce = errors.New("change is accepted but not in force on every live instance")

// app holds the output and the flags that the commands share.
type app struct {
	stdout, stderr io.Writer

	servers     []string
	output      string
	changeID    string
	operator    string
	dryRun      bool
	wait        bool
	waitTimeout time.Duration
}

// Main runs the command line and returns the exit code.
func Main(c *dig.Container, args []string, stdout, stderr io.Writer) int {
	if err := c.Provide(func() *app { return &app{stdout: stdout, stderr: stderr} }); err != nil {
		_, _ = fmt.Fprintln(stderr, "primrosectl:", err)

		return ExitFailure
	}

	err := c.Invoke(func(a *app) error {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
		defer stop()

		root := a.root()
		root.SetArgs(args)
		root.SetOut(stdout)
		root.SetErr(stderr)

		return root.ExecuteContext(ctx)
	})
	if err == nil {
		return ExitOK
	}

	return report(stderr, dig.RootCause(err))
}

// report prints err and returns the exit code for its fate.
func report(stderr io.Writer, err error) int {
	var e *domain.Error

	switch {
	case errors.Is(err, errNotInForce):
		_, _ = fmt.Fprintln(stderr, "primrosectl:", err)

		return ExitNotInForce
	case errors.Is(err, errUsage):
		_, _ = fmt.Fprintln(stderr, "primrosectl:", err)

		return ExitUsage
	case !errors.As(err, &e):
		_, _ = fmt.Fprintln(stderr, "primrosectl:", err)

		return ExitFailure
	case e.Fate == domain.FateNotRun:
		_, _ = fmt.Fprintf(stderr, "primrosectl: refused (%s): %v\n", e.Code, err)

		return ExitRefused
	default:
		_, _ = fmt.Fprintf(stderr, "primrosectl: unknown (%s): %v\n", e.Code, err)

		return ExitUnknown
	}
}

func (a *app) root() *cobra.Command {
	root := &cobra.Command{
		Use: "primrosectl", Short: "Operate primrosespring", SilenceUsage: true, SilenceErrors: true,
		Long: "Operate primrosespring.\n\nExit codes: 0 accepted or shown, 1 failure, 2 bad arguments, 3 refused,\n" +
			"4 unknown (the change may have been made; run it again with the same --change-id),\n" +
			"5 accepted but not in force everywhere within --wait-timeout.",
	}

	servers := defaultServer
	if v := os.Getenv(serverVariable); v != "" {
		servers = v
	}

	f := root.PersistentFlags()
	f.StringSliceVar(&a.servers, "server", strings.Split(servers, ","),
		"operator addresses of instances, tried in order (default from "+serverVariable+")")
	f.StringVarP(&a.output, "output", "o", "table", "output format: table or json")

	root.PersistentPreRunE = func(*cobra.Command, []string) error {
		if a.output != "table" && a.output != "json" {
			return fmt.Errorf("%w: --output is %q; must be table or json", errUsage, a.output)
		}

		return nil
	}

	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return fmt.Errorf("%w: %w", errUsage, err) })
	root.AddCommand(a.serviceCommand(), a.rulesCommand(), a.memberCommand(), a.searcherCommand(),
		a.statusCommand(), a.explainCommand(), a.watchCommand(), a.quarantineCommand(), a.usageCommand(), a.evacuationsCommand())
	markUsage(root)

	return root
}

// markUsage makes cmd and its subcommands report invalid arguments as errUsage.
// A command without an action of its own takes no arguments.
func markUsage(cmd *cobra.Command) {
	check := cmd.Args
	if check == nil {
		check = cobra.NoArgs
	}

	cmd.Args = func(cmd *cobra.Command, args []string) error {
		if err := check(cmd, args); err != nil {
			return fmt.Errorf("%w: %w (see %s --help)", errUsage, err, cmd.CommandPath())
		}

		return nil
	}

	if !cmd.Runnable() {
		cmd.RunE = func(cmd *cobra.Command, _ []string) error { return cmd.Help() }
	}

	for _, sub := range cmd.Commands() {
		markUsage(sub)
	}
}

// changeFlags adds the flags of a command that changes the configuration.
func (a *app) changeFlags(cmd *cobra.Command) *cobra.Command {
	f := cmd.Flags()
	f.StringVar(&a.changeID, "change-id", "", "UUID of the change; a change sent twice with one id is made once")
	f.StringVar(&a.operator, "operator", userName(), "name of the operator, for the log")
	f.BoolVar(&a.dryRun, "dry-run", false, "check the change without making it")
	f.BoolVar(&a.wait, "wait", false, "wait until the change is in force on every live instance")
	f.DurationVar(&a.waitTimeout, "wait-timeout", defaultWaitTimeout, "time limit of --wait")

	return cmd
}

func (a *app) options() *pb.ChangeOptions {
	if a.changeID == "" {
		a.changeID = uuid.NewString()
	}

	return &pb.ChangeOptions{ChangeId: a.changeID, DryRun: a.dryRun, Operator: a.operator}
}

func (a *app) client() (*instance.Client, error) {
	c, err := instance.NewClient(a.servers)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}

	return c, nil
}

// call runs f on an instance.
func (a *app) call(ctx context.Context, step string, f func(context.Context, instance.Admin) error) error {
	c, err := a.client()
	if err != nil {
		return err
	}

	return c.Call(ctx, step, f)
}

// changeResponse is a response to a change.
type changeResponse interface{ GetResult() *pb.ChangeResult }

// change makes a change, prints its result and, with --wait, waits until the change
// is in force.
func (a *app) change(ctx context.Context, step string,
	f func(context.Context, instance.Admin, *pb.ChangeOptions) (changeResponse, error),
) error {
	options := a.options()

	var result *pb.ChangeResult

	err := a.call(ctx, step, func(ctx context.Context, admin instance.Admin) error {
		resp, err := f(ctx, admin, options)
		if err == nil {
			result = resp.GetResult()
		}

		return err
	})
	if err != nil {
		var e *domain.Error
		if errors.As(err, &e) && e.Fate == domain.FateUnknown {
			_, _ = fmt.Fprintf(a.stderr, "change_id=%s\n", options.GetChangeId())
		}

		return err
	}

	if err := a.printResult(options, result); err != nil {
		return err
	}

	if a.wait && !a.dryRun {
		return a.waitInForce(ctx, result.GetConfigurationVersion())
	}

	return nil
}

func userName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}

	return ""
}
