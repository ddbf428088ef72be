package command

import (
	"io"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/dig"

	"primrosespring.example/internal/domain"
	"primrosespring.example/primrosefake/internal/searcher"
)

func searcherCommand(c *dig.Container) *cobra.Command {
	var (
		control  string
		median   time.Duration
		snapshot domain.Snapshot
	)

	o := searcher.DefaultOptions()
	cmd := &cobra.Command{
		Use: "searcher", Short: "Run one searcher", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return c.Invoke(func(out io.Writer) error {
				o.MedianMS = median.Seconds() * 1000
				o.Snapshots = []domain.Snapshot{snapshot}

				return runSearchers(out, searcher.File{ControlAddress: control, Searchers: []searcher.Options{o}})
			})
		},
	}
	f := cmd.Flags()
	f.StringVar(&o.Address, "address", "127.0.0.1:7100", "IP address and port to listen on")
	f.StringVar(&control, "control-address", defaultControlAddress, "IP address and port of the control API")
	f.StringVar(&o.ID, "id", "searcher-0", "name of the searcher")
	f.StringVar(&o.Service, "service", "demo", "service that the searcher holds")
	f.Uint32Var(&o.Shard, "shard", 0, "shard that the searcher holds")
	f.IntVar(&o.Slots, "slots", o.Slots, "requests run concurrently")
	f.DurationVar(&median, "median", 5*time.Millisecond, "median service time")
	f.Float64Var(&o.Sigma, "sigma", o.Sigma, "sigma of the log-normal service time")
	f.Float64Var(&o.StragglerShare, "straggler-share", 0, "share of requests that are stragglers")
	f.Float64Var(&o.StragglerFactor, "straggler-factor", o.StragglerFactor, "factor by which stragglers are slower")
	f.Uint64Var(&o.Seed, "seed", o.Seed, "seed of the service times")
	f.Uint64Var(&snapshot.IndexVersion, "index-version", 1, "index version held at the start")
	f.Uint64Var(&snapshot.PartitionMapVersion, "partition-map-version", 1, "partition map version held at the start")

	return cmd
}
