package cli

import (
	"context"
	"flag"
	"fmt"
	"net/url"

	"github.com/google/subcommands"

	"cardamompulley/fleet/exposer"
)

// explainCommand shows to which endpoint a router would send a chat, and why.
type explainCommand struct {
	console
	router, account, model, cacheKey string
}

func (*explainCommand) Name() string     { return "explain" }
func (*explainCommand) Synopsis() string { return "show where a chat would be sent, and why" }
func (*explainCommand) Usage() string {
	return "explain --router URL --account ID --model ID --cache-key KEY [--output text|json]\n"
}

// SetFlags adds the flags of the command.
func (e *explainCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&e.router, "router", "", "URL of a router's operator port")
	f.StringVar(&e.account, "account", "", "client account")
	f.StringVar(&e.model, "model", "", "model, or model:adapter")
	f.StringVar(&e.cacheKey, "cache-key", "", "prompt_cache_key of the chat")
	e.addOutputFlag(f)
}

// Execute queries the router and prints its explanation.
func (e *explainCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 0 || e.router == "" || e.model == "" || e.cacheKey == "" {
		return e.fail(fmt.Errorf("%w: %s", errUsage, e.Usage()))
	}
	query := url.Values{"account": {e.account}, "model": {e.model}, "cache-key": {e.cacheKey}}
	var result exposer.Explanation
	if err := fetchJSON(e.router+"/explain?"+query.Encode(), &result); err != nil {
		return e.fail(err)
	}

	return e.printResult(result, func() {
		fmt.Fprintf(e.out, "service %s, %d members, mean load %.1f, limit %d\n",
			result.Service, result.MemberCount, result.MeanLoad, result.LoadLimit)
		for i, c := range result.HomeOrder {
			fmt.Fprintf(e.out, "%d. %-16s domain %-10s busy %-4d %s\n", i+1, c.ID, c.Domain, c.Running, c.State)
		}
		fmt.Fprintf(e.out, "a first turn goes to %s (%s); a later turn asks %s, which sends it on to a holder if it is none itself\n",
			result.FirstTurnEndpoint, result.FirstTurnReason, result.HomeEndpoint)
	})
}
