package command

import (
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
	"go.uber.org/dig"

	"primrosespring.example/primrosefake/internal/load"
	"primrosespring.example/primrosefake/internal/report"
	"primrosespring.example/primrosefake/internal/workload"
)

const resultFileMode = 0o600

// loadFlags are the arguments of the load command.
type loadFlags struct {
	workload   string
	seed       uint64
	duration   time.Duration
	rate       float64
	systems    []string
	direct     bool
	faults     []string
	awaitWhole bool
	until      string
	pids       []int
	out        string
}

func loadCommand(c *dig.Container) *cobra.Command {
	var f loadFlags

	cmd := &cobra.Command{
		Use: "load DIR", Short: "Send the load of a generated workload and check every answer", Args: cobra.ExactArgs(1),
		Long: "Send the load of a generated workload, to the baseline and then to the product, and check every answer.\n" +
			"The exit code is 1 if a figure of the product that must be zero isn't.",
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.Invoke(func(out io.Writer) error { return runLoad(cmd, f, args[0], out) })
		},
	}
	cmd.Flags().StringVar(&f.workload, "workload", "",
		"built-in workload or file instead of the one in DIR; its services must have the same searchers")
	cmd.Flags().Uint64Var(&f.seed, "seed", 0, "seed instead of the workload's")
	cmd.Flags().DurationVar(&f.duration, "duration", 0, "length of the load instead of the workload's")
	cmd.Flags().Float64Var(&f.rate, "rate", 0, "requests per second instead of the workload's load")
	cmd.Flags().StringSliceVar(&f.systems, "system", []string{load.Baseline, load.Product}, "systems to run, in order")
	cmd.Flags().BoolVar(&f.direct, "direct", false, "send to the instances instead of the balancer")
	cmd.Flags().StringArrayVar(&f.faults, "fault", nil, "fault as JSON, in addition to those of the workload")
	cmd.Flags().StringVar(&f.until, "until", "", "file whose creation ends the load early")
	cmd.Flags().BoolVar(&f.awaitWhole, "await-whole", false, "fail unless the product gives whole answers again after the load")
	cmd.Flags().IntSliceVar(&f.pids, "pid", nil, "process ids of the instances, whose CPU time is measured")
	cmd.Flags().StringVar(&f.out, "out", "", "file for the results as JSON")

	return cmd
}

func runLoad(cmd *cobra.Command, f loadFlags, dir string, out io.Writer) error {
	t, w, err := workload.OpenTopology(dir)
	if err != nil {
		return err
	}

	if f.workload != "" {
		if w, err = workload.Open(f.workload); err != nil {
			return err
		}
	}

	if f.seed != 0 {
		w.Seed = f.seed
	}

	if f.duration != 0 {
		w.DurationMS = uint32(f.duration.Milliseconds())
	}

	if f.rate != 0 {
		w.Load.QueriesPerSecond, w.Load.SlotsPermille = f.rate, 0
	}

	if w, err = w.WithFaults(f.faults); err != nil {
		return err
	}

	results, err := load.Run(cmd.Context(), load.Options{
		Workload: w, Topology: t, Systems: f.systems, Direct: f.direct, AwaitWhole: f.awaitWhole, Until: f.until, PIDs: f.pids, Log: out,
	})
	if err != nil {
		return err
	}

	if err := writeResults(f.out, results); err != nil {
		return err
	}

	if err := report.WriteText(out, results); err != nil {
		return err
	}

	return load.CheckResults(results)
}

func writeResults(name string, results []*load.Result) error {
	if name == "" {
		return nil
	}

	data, err := json.MarshalIndent(results, "", " ")
	if err != nil {
		return errors.Annotate(err, "encode results")
	}

	return os.WriteFile(name, append(data, '\n'), resultFileMode)
}
