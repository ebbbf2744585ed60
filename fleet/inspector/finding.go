package inspector

import (
	"cmp"
	"slices"
)

// Severity states what a finding means for the configuration.
type Severity string

// Severities. A configuration with an error should not be sent.
const (
	SeverityError   Severity = "error"
	SeverityWarning Severity = "warning"
)

// Finding is something that an operator should know before a configuration is sent.
type Finding struct {
	Severity Severity `json:"severity"`
	Place    Place    `json:"place"`
	Text     string   `json:"text"`
}

// Inspect returns the findings on a document, in the order of its lines.
func Inspect(d *Document) []Finding {
	var n notes
	n.inspectRoutes(d)
	n.inspectServices(d)
	n.inspectAccounts(d)
	n.inspectLimits(d)
	SortFindings(n.findings)

	return n.findings
}

// SortFindings sorts findings by line; those of one line keep their order.
func SortFindings(fs []Finding) {
	slices.SortStableFunc(fs, func(a, b Finding) int { return cmp.Compare(a.Place.Line, b.Place.Line) })
}

// HasErrors reports whether one of the findings is an error.
func HasErrors(fs []Finding) bool {
	return slices.ContainsFunc(fs, func(f Finding) bool { return f.Severity == SeverityError })
}

// ShortenKey returns the beginning of an API key, at most a quarter of it, so that it can be shown.
func ShortenKey(key string) string {
	const maxShown = 4

	return key[:min(maxShown, len(key)/4)] + "..."
}

// notes collects findings.
type notes struct {
	findings []Finding
}

func (n *notes) fail(p Place, text string) {
	n.findings = append(n.findings, Finding{Severity: SeverityError, Place: p, Text: text})
}

func (n *notes) warn(p Place, text string) {
	n.findings = append(n.findings, Finding{Severity: SeverityWarning, Place: p, Text: text})
}

// warnOfRepeat notes that a name was used before; names holds the first place of each.
func (n *notes) warnOfRepeat(names map[string]Place, p Place, text string) {
	if _, ok := names[p.Name]; ok {
		n.warn(p, text)

		return
	}
	names[p.Name] = p
}

func (n *notes) inspectLimits(d *Document) {
	l := d.Limits
	if l.MaxHeaderBytes < 0 || l.MaxBodyBytes < 0 {
		n.fail(d.LimitsPlace, "a size limit is negative")
	}
	if l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		n.fail(d.LimitsPlace, "a timeout is negative")
	}
}
