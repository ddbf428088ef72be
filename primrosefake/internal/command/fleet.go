package command

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
	"go.uber.org/dig"

	"primrosespring.example/primrosefake/internal/fleet"
	"primrosespring.example/primrosefake/internal/workload"
)

func fleetCommand(c *dig.Container) *cobra.Command {
	cmd := &cobra.Command{Use: "fleet", Short: "Measure the control overhead of a fleet of instances"}
	cmd.AddCommand(fleetWorkloadCommand(c), fleetMeasureCommand(c))

	return cmd
}

func fleetWorkloadCommand(c *dig.Container) *cobra.Command {
	var o workload.FleetOptions

	cmd := &cobra.Command{
		Use: "workload", Short: "Print the workload of a fleet", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return c.Invoke(func(out io.Writer) error {
				w, err := workload.Fleet(o)
				if err != nil {
					return err
				}

				e := json.NewEncoder(out)
				e.SetIndent("", "  ")

				return e.Encode(w)
			})
		},
	}
	f := cmd.Flags()
	f.IntVar(&o.Instances, "instances", 9, "instances")
	f.IntVar(&o.FailureDomains, "failure-domains", 3, "failure domains")
	f.IntVar(&o.Regions, "regions", 1, "regions")
	f.IntVar(&o.Services, "services", 2, "search services")
	f.Uint32Var(&o.Shards, "shards", 20, "shards of each service, with two searchers each")
	f.Uint32Var(&o.Connections, "connections", 25, "connection limit of each searcher")

	return cmd
}

// measureFlags are the arguments of the measure command.
type measureFlags struct {
	pids    []int
	changes int
	pause   time.Duration
	settle  time.Duration
	window  time.Duration
	seed    uint64
	out     string
}

// measurement is the result of one run of the measure command.
type measurement struct {
	Searchers   int               `json:"searchers"`
	Idle        fleet.Usage       `json:"idle"`
	Propagation fleet.Propagation `json:"spread"`
}

func fleetMeasureCommand(c *dig.Container) *cobra.Command {
	var f measureFlags

	cmd := &cobra.Command{
		Use: "measure DIR", Args: cobra.ExactArgs(1),
		Short: "Measure CPU, memory, control bytes and store calls without changes, then the propagation of changes",
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.Invoke(func(out io.Writer) error { return runMeasure(cmd, f, args[0], out) })
		},
	}
	cmd.Flags().IntSliceVar(&f.pids, "pid", nil, "process ids of the instances, in the order of the topology")
	cmd.Flags().IntVar(&f.changes, "changes", 30, "changes of configuration")
	cmd.Flags().DurationVar(&f.pause, "pause", 200*time.Millisecond, "time between two changes")
	cmd.Flags().DurationVar(&f.settle, "settle", 5*time.Second, "time before usage is measured, to leave out the start")
	cmd.Flags().DurationVar(&f.window, "window", 10*time.Second, "time over which usage is measured")
	cmd.Flags().Uint64Var(&f.seed, "seed", 1, "seed of the choice of the instances that changes are sent to")
	cmd.Flags().StringVar(&f.out, "out", "", "file for the result as JSON")

	return cmd
}

// runMeasure prints the result as a row of a Markdown table, and writes it to
// f.out as JSON if that is set.
func runMeasure(cmd *cobra.Command, f measureFlags, dir string, out io.Writer) error {
	t, _, err := workload.OpenTopology(dir)
	if err != nil {
		return err
	}

	select {
	case <-cmd.Context().Done():
		return cmd.Context().Err()
	case <-time.After(f.settle):
	}

	m := measurement{Searchers: len(t.Searchers)}

	if m.Idle, err = fleet.MeasureUsage(cmd.Context(), t, f.pids, f.window); err != nil {
		return err
	}

	if m.Propagation, err = fleet.MeasurePropagation(cmd.Context(), t, f.changes, f.pause, f.seed); err != nil {
		return err
	}

	if _, err := fmt.Fprintf(out, "| %d | %d | %.2f | %.2f | %.1f | %.1f | %.0f | %.0f | %.1f | %.0f | %.0f / %.0f / %.0f | %d | %d | %d |\n",
		m.Idle.Instances, m.Searchers, m.Idle.CPUPercent, m.Idle.MaxCPUPercent, m.Idle.MemoryMB, m.Idle.MaxMemoryMB,
		m.Idle.ControlBytesPerSecond, m.Idle.MaxControlBytesPerSecond, m.Idle.StoreCallsPerSecond, m.Idle.WaitingWatches,
		m.Propagation.AllInstances.P50, m.Propagation.AllInstances.P99, m.Propagation.AllInstances.Max,
		m.Propagation.Failed, m.Propagation.TimedOut, m.Propagation.Reverts); err != nil {
		return errors.Annotate(err, "write row")
	}

	if f.out == "" {
		return nil
	}

	data, err := json.MarshalIndent(m, "", " ")
	if err != nil {
		return errors.Annotate(err, "encode measurement")
	}

	return os.WriteFile(f.out, append(data, '\n'), resultFileMode)
}
