package command

import (
	"fmt"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	pb "primrosespring.example/internal/gen/primrosespring/v1"
)

// ruleFlags holds the flags for the rules of a service. Flags that aren't given
// leave their rule unchanged.
type ruleFlags struct {
	rules pb.Rules
}

func (r *ruleFlags) add(f *pflag.FlagSet) {
	f.Uint32Var(&r.rules.TimeoutMs, "timeout-ms", 0, "default and maximum timeout of a request, in milliseconds")
	f.Uint32Var(&r.rules.MaxAttempts, "max-attempts", 0, "maximum attempts per shard")
	f.Uint32Var(&r.rules.ExtraLoadPermille, "extra-load-permille", 0, "retries and hedges allowed for each 1,000 first attempts")
	f.BoolVar(&r.rules.Hedging, "hedging", false, "send a second attempt to a shard whose searcher is slow")
	f.Uint32Var(&r.rules.MinCoveragePermille, "min-coverage-permille", 0, "minimum share of shards in an answer, in 1/1,000")
	f.Uint32Var(&r.rules.PartialWaitMs, "partial-wait-ms", 0, "wait for missing shards once the minimum coverage is met, in milliseconds")
	f.BoolVar(&r.rules.Repeatable, "repeatable", false, "allow searches")
	f.BoolVar(&r.rules.NonRepeatable, "non-repeatable", false, "allow requests that must not be repeated")
}

// apply copies the given flags into rules and reports whether there were any.
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
	cmd.Flags().Uint64Var(&version, "version", 0, "version that the change is based on (default: the current one)")

	return a.changeFlags(cmd)
}
