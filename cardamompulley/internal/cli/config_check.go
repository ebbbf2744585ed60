package cli

import (
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"cardamompulley/fleet/inspector"
	"cardamompulley/platform"
)

var errBaseUnreadable = errors.New("cardamompulley: unreadable configuration in force")

// checkResult is what a check has found. Differences is empty without a configuration to compare with.
type checkResult struct {
	File        string                 `json:"file"`
	Against     string                 `json:"against,omitempty"`
	Valid       bool                   `json:"valid"`
	Findings    []inspector.Finding    `json:"findings"`
	Differences []inspector.Difference `json:"differences"`
}

// check inspects a configuration of the platform and prints what it has found. Flags may also follow the file.
func (c *configCommand) check(f *flag.FlagSet) subcommands.ExitStatus {
	file := f.Arg(1)
	if err := f.Parse(f.Args()[2:]); err != nil || f.NArg() != 0 {
		return c.fail(fmt.Errorf("%w: %s", errUsage, c.Usage()))
	}
	result, err := c.inspect(file)
	if err != nil {
		return c.fail(err)
	}
	status := c.printResult(result, func() { c.printCheck(result) })
	if status == ExitOK && !result.Valid {
		return ExitInvalid
	}

	return status
}

func (c *configCommand) inspect(file string) (checkResult, error) {
	result := checkResult{
		File: file, Against: c.against,
		Findings: []inspector.Finding{}, Differences: []inspector.Difference{},
	}
	next, findings, err := readConfigurationText(file)
	if err != nil {
		return result, err
	}
	result.Findings = append(result.Findings, findings...)
	if next != nil {
		result.Findings = append(result.Findings, inspector.Inspect(next)...)
	}
	if c.against != "" {
		inForce, findings, err := readConfigurationText(c.against)
		if err != nil {
			return result, err
		}
		if inForce == nil {
			return result, fmt.Errorf("%w: %s: %s", errBaseUnreadable, placeOf(c.against, findings[0].Place), findings[0].Text)
		}
		if next != nil {
			differences, warnings := inspector.Compare(inForce, next)
			result.Differences = append(result.Differences, differences...)
			result.Findings = append(result.Findings, warnings...)
		}
	}
	inspector.SortFindings(result.Findings)
	result.Valid = !inspector.HasErrors(result.Findings)

	return result, nil
}

func readConfigurationText(file string) (*inspector.Document, []inspector.Finding, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, fmt.Errorf("cardamompulley: %w", err)
	}
	d, findings := platform.ReadConfigurationText(raw)

	return d, findings, nil
}

func (c *configCommand) printCheck(r checkResult) {
	faults := 0
	for _, f := range r.Findings {
		if f.Severity == inspector.SeverityError {
			faults++
		}
		fmt.Fprintf(c.out, "%s: %s: %s: %s\n", placeOf(r.File, f.Place), f.Severity, f.Place, f.Text)
	}
	for _, d := range r.Differences {
		c.printDifference(d)
	}
	fmt.Fprintf(c.out, "%s: %d errors, %d warnings", r.File, faults, len(r.Findings)-faults)
	if r.Against != "" {
		fmt.Fprintf(c.out, ", %d differences from %s", len(r.Differences), r.Against)
	}
	fmt.Fprintln(c.out)
}

func (c *configCommand) printDifference(d inspector.Difference) {
	mark := map[inspector.Change]string{inspector.ChangeAdded: "+", inspector.ChangeRemoved: "-", inspector.ChangeChanged: "~"}[d.Change]
	switch {
	case d.Field == "":
		fmt.Fprintf(c.out, "%s %s\n", mark, d.Place)
	case d.Change == inspector.ChangeChanged:
		fmt.Fprintf(c.out, "%s %s: %s: %s -> %s\n", mark, d.Place, d.Field, d.Before, d.After)
	default:
		fmt.Fprintf(c.out, "%s %s: %s: %s%s\n", mark, d.Place, d.Field, d.Before, d.After)
	}
}

// placeOf returns a file with a line, if the line is known.
func placeOf(file string, p inspector.Place) string {
	if p.Line == 0 {
		return file
	}

	return fmt.Sprintf("%s:%d", file, p.Line)
}
