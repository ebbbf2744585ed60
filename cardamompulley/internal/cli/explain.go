package cli

import (
	"context"
	"flag"
	"fmt"
	"net/url"

	"github.com/google/subcommands"

	"cardamompulley/fleet/exposer"
)

// explainCommand asks a router where it would send a chat, and why.
type explainCommand struct {
	console
	router, account, model, key string
}

func (*explainCommand) Name() string     { return "explain" }
func (*explainCommand) Synopsis() string { return "show where a chat would go, and why" }
func (*explainCommand) Usage() string {
	return "explain --router URL --account ID --model ID --cache-key KEY [--output text|json]\n"
}

// SetFlags declares the flags.
func (e *explainCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&e.router, "router", "", "URL of a router's operator port")
	f.StringVar(&e.account, "account", "", "client account")
	f.StringVar(&e.model, "model", "", "model, or model:adapter")
	f.StringVar(&e.key, "cache-key", "", "the chat's prompt_cache_key")
	e.setOutput(f)
}

// Execute asks and prints.
func (e *explainCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 0 || e.router == "" || e.model == "" || e.key == "" {
		return e.fail(fmt.Errorf("%w: %s", errUsage, e.Usage()))
	}
	query := url.Values{"account": {e.account}, "model": {e.model}, "cache-key": {e.key}}
	var result exposer.Explanation
	if err := fetchJSON(e.router+"/explain?"+query.Encode(), &result); err != nil {
		return e.fail(err)
	}

	return e.show(result, func() {
		fmt.Fprintf(e.out, "service %s, %d members, mean load %.1f, limit %d\n",
			result.Service, result.MemberCount, result.MeanLoad, result.LoadLimit)
		for i, c := range result.HomeOrder {
			fmt.Fprintf(e.out, "%d. %-16s domain %-10s busy %-4d %s\n", i+1, c.ID, c.Domain, c.Running, c.State)
		}
		fmt.Fprintf(e.out, "a first turn goes to %s (%s); a later turn asks %s, which sends it on to a holder if it is none itself\n",
			result.FirstTurnEndpoint, result.FirstTurnReason, result.HomeEndpoint)
	})
}
