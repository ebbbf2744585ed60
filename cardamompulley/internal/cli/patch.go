package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"sort"

	"github.com/google/subcommands"

	"cardamompulley/fleet/configurator"
	"cardamompulley/fleet/model"
)

// patchCommand checks a patch, or shows what it changes; the platform alone takes patches.
type patchCommand struct {
	console
	platform string
}

func (*patchCommand) Name() string     { return "patch" }
func (*patchCommand) Synopsis() string { return "check a patch, or show the diff that it makes" }
func (*patchCommand) Usage() string {
	return "patch --platform URL [--output text|json] check|show FILE\n"
}

// SetFlags declares the flags.
func (p *patchCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&p.platform, "platform", "", "URL of the platform's configuration service")
	p.setOutput(f)
}

type versioned struct {
	Version  model.Version  `json:"version"`
	Document model.Document `json:"document"`
}

// change is one line of a diff.
type change struct {
	Path   string `json:"path"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

type patchResult struct {
	BaseVersion model.Version `json:"base-version"`
	Valid       bool          `json:"valid"`
	Changes     []change      `json:"changes"`
}

// Execute checks or shows one patch file.
func (p *patchCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 2 || (f.Arg(0) != "check" && f.Arg(0) != "show") || p.platform == "" {
		return p.fail(fmt.Errorf("%w: %s", errUsage, p.Usage()))
	}
	result, err := p.try(f.Arg(1))
	if err != nil {
		return p.fail(err)
	}

	return p.show(result, func() {
		if f.Arg(0) == "check" {
			fmt.Fprintf(p.out, "good against version %d: %d changes\n", result.BaseVersion, len(result.Changes))

			return
		}
		for _, c := range result.Changes {
			printChange(p, c)
		}
	})
}

func printChange(p *patchCommand, c change) {
	if c.Before != "" {
		fmt.Fprintf(p.out, "- %s: %s\n", c.Path, c.Before)
	}
	if c.After != "" {
		fmt.Fprintf(p.out, "+ %s: %s\n", c.Path, c.After)
	}
}

func (p *patchCommand) try(path string) (patchResult, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return patchResult{}, fmt.Errorf("cardamompulley: %w", err)
	}
	patch, err := configurator.ParsePatch(raw)
	if err != nil {
		return patchResult{}, err
	}
	var base versioned
	if err := fetchJSON(p.platform+"/v1/document", &base); err != nil {
		return patchResult{}, err
	}
	next, err := configurator.Apply(base.Document, base.Version, patch)
	if err != nil {
		return patchResult{}, err
	}
	if _, err := configurator.EncodeVersion(base.Version+1, next); err != nil {
		return patchResult{}, err
	}
	changes, err := diff(base.Document, next)

	return patchResult{BaseVersion: base.Version, Valid: true, Changes: changes}, err
}

// diff lists the leaves that differ between two documents, in order of their paths.
func diff(before, after model.Document) ([]change, error) {
	old, err := leaves(before)
	if err != nil {
		return nil, err
	}
	fresh, err := leaves(after)
	if err != nil {
		return nil, err
	}
	var changes []change
	for path, value := range old {
		if fresh[path] != value {
			changes = append(changes, change{Path: path, Before: value, After: fresh[path]})
		}
	}
	for path, value := range fresh {
		if _, known := old[path]; !known {
			changes = append(changes, change{Path: path, After: value})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Path < changes[j].Path })

	return changes, nil
}

func leaves(d model.Document) (map[string]string, error) {
	raw, err := json.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("cardamompulley: diff: %w", err)
	}
	var tree any
	if err := json.Unmarshal(raw, &tree); err != nil {
		return nil, fmt.Errorf("cardamompulley: diff: %w", err)
	}
	found := map[string]string{}
	collect("", tree, found)

	return found, nil
}

func collect(path string, tree any, found map[string]string) {
	branch, ok := tree.(map[string]any)
	if !ok {
		raw, err := json.Marshal(tree)
		if err == nil {
			found[path] = string(raw)
		}

		return
	}
	for name, sub := range branch {
		inner := name
		if path != "" {
			inner = path + "." + name
		}
		collect(inner, sub, found)
	}
}
