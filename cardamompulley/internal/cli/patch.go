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

// patchCommand validates a patch or shows the changes that it makes. It does not submit the patch, which is done through the
// platform.
type patchCommand struct {
	console
	platform string
}

func (*patchCommand) Name() string     { return "patch" }
func (*patchCommand) Synopsis() string { return "validate a patch or show the changes that it makes" }
func (*patchCommand) Usage() string {
	return "patch --platform URL [--output text|json] check|show FILE\n"
}

// SetFlags adds the flags of the command.
func (p *patchCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&p.platform, "platform", "", "URL of the platform's configuration service")
	p.addOutputFlag(f)
}

type versionedDocument struct {
	Version  model.Version  `json:"version"`
	Document model.Document `json:"document"`
}

// change is one value that a patch changes. Before is empty for an added value and After for a removed one.
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

// Execute evaluates one patch file against the current configuration.
func (p *patchCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 2 || (f.Arg(0) != "check" && f.Arg(0) != "show") || p.platform == "" {
		return p.fail(fmt.Errorf("%w: %s", errUsage, p.Usage()))
	}
	result, err := p.evaluate(f.Arg(1))
	if err != nil {
		return p.fail(err)
	}

	return p.printResult(result, func() {
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

// evaluate applies a patch file to the current configuration, validates the result and returns the changes.
func (p *patchCommand) evaluate(path string) (patchResult, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return patchResult{}, fmt.Errorf("cardamompulley: %w", err)
	}
	patch, err := configurator.ParsePatch(raw)
	if err != nil {
		return patchResult{}, err
	}
	var base versionedDocument
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

// diff returns the values that differ between two documents, sorted by path.
func diff(before, after model.Document) ([]change, error) {
	oldLeaves, err := flatten(before)
	if err != nil {
		return nil, err
	}
	newLeaves, err := flatten(after)
	if err != nil {
		return nil, err
	}
	var changes []change
	for path, value := range oldLeaves {
		if newLeaves[path] != value {
			changes = append(changes, change{Path: path, Before: value, After: newLeaves[path]})
		}
	}
	for path, value := range newLeaves {
		if _, ok := oldLeaves[path]; !ok {
			changes = append(changes, change{Path: path, After: value})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Path < changes[j].Path })

	return changes, nil
}

// flatten returns the values of a document's JSON form, encoded as JSON and keyed by their dotted paths.
func flatten(d model.Document) (map[string]string, error) {
	raw, err := json.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("cardamompulley: compare documents: %w", err)
	}
	var tree any
	if err := json.Unmarshal(raw, &tree); err != nil {
		return nil, fmt.Errorf("cardamompulley: compare documents: %w", err)
	}
	leaves := map[string]string{}
	collectLeaves("", tree, leaves)

	return leaves, nil
}

func collectLeaves(path string, tree any, leaves map[string]string) {
	object, ok := tree.(map[string]any)
	if !ok {
		raw, err := json.Marshal(tree)
		if err == nil {
			leaves[path] = string(raw)
		}

		return
	}
	for name, child := range object {
		childPath := name
		if path != "" {
			childPath = path + "." + name
		}
		collectLeaves(childPath, child, leaves)
	}
}
