package command

import (
	"fmt"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	pb "primrosespring.example/internal/gen/primrosespring/v1"
)

// ruleFlags are the flags that change the rules of a service; only those given
// on the command line change anything.
type ruleFlags struct {
	rules pb.Rules
}

func (r *ruleFlags) add(f *pflag.FlagSet) {
	f.Uint32Var(&r.rules.TimeoutMs, "timeout-ms", 0, "longest deadline of a request, in milliseconds")
	f.Uint32Var(&r.rules.MaxAttempts, "max-attempts", 0, "most attempts for one shard")
	f.Uint32Var(&r.rules.ExtraLoadPermille, "extra-load-permille", 0, "retries and hedges for each 1,000 first attempts")
	f.BoolVar(&r.rules.Hedging, "hedging", false, "send a second attempt to stragglers' shards")
	f.Uint32Var(&r.rules.MinCoveragePermille, "min-coverage-permille", 0, "least share of shards in an answer, in 1/1,000")
	f.Uint32Var(&r.rules.PartialWaitMs, "partial-wait-ms", 0, "wait for missing shards once the least coverage is met")
	f.BoolVar(&r.rules.Repeatable, "repeatable", false, "allow searches")
	f.BoolVar(&r.rules.NonRepeatable, "non-repeatable", false, "allow requests that must not be repeated")
}

// apply copies the flags that were given into rules, and reports whether there
// was one.
func (r *ruleFlags) apply(f *pflag.FlagSet, rules *pb.Rules) bool {
	fields := map[string]func(){
		"timeout-ms":            func() { rules.TimeoutMs = r.rules.GetTimeoutMs() },
		"max-attempts":          func() { rules.MaxAttempts = r.rules.GetMaxAttempts() },
		"extra-load-permille":   func() { rules.ExtraLoadPermille = r.rules.GetExtraLoadPermille() },
		"hedging":               func() { rules.Hedging = r.rules.GetHedging() },
		"min-coverage-permille": func() { rules.MinCoveragePermille = r.rules.GetMinCoveragePermille() },
		"partial-wait-ms":       func() { rules.PartialWaitMs = r.rules.GetPartialWaitMs() },
		"repeatable":            func() { rules.Repeatable = r.rules.GetRepeatable() },
		"non-repeatable":        func() { rules.NonRepeatable = r.rules.GetNonRepeatable() },
	}
	changed := false

	f.Visit(func(flag *pflag.Flag) {
		if set, ok := fields[flag.Name]; ok {
			set()

			changed = true
		}
	})

	return changed
}

func (a *app) rulesCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "rules", Short: "Show and change the rules of a service"}
	cmd.AddCommand(a.rulesGet(), a.rulesSet())

	return cmd
}

func (a *app) rulesGet() *cobra.Command {
	return &cobra.Command{
		Use: "get SERVICE", Short: "Show the rules of a service", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			svc, err := a.getService(cmd.Context(), args[0])
			if err != nil {
				return err
			}

			if a.output == "json" {
				return a.printJSON(svc.GetRules())
			}

			return a.printRules(svc.GetRules())
		},
	}
}

func (a *app) rulesSet() *cobra.Command {
	var (
		flags   ruleFlags
		version uint64
	)

	cmd := &cobra.Command{
		Use: "set SERVICE", Short: "Change the rules given as flags and keep the others", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			svc, err := a.getService(cmd.Context(), args[0])
			if err != nil {
				return err
			}

			if !flags.apply(cmd.Flags(), svc.GetRules()) {
				return fmt.Errorf("%w: no rule given", errUsage)
			}

			if version != 0 {
				svc.Version = version
			}

			return a.updateService(cmd.Context(), svc)
		},
	}
	flags.add(cmd.Flags())
	cmd.Flags().Uint64Var(&version, "version", 0, "version that the change is made against (default: the current one)")

	return a.changeFlags(cmd)
}
