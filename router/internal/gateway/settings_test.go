package gateway

import (
	"errors"
	"os"
	"regexp"
	"strings"
	"testing"

	"cardamompulley/fleet/loader"
)

func TestOptionsMatchDocumentation(t *testing.T) {
	page, err := os.ReadFile("../../../docs/CONFIGURATION.md")
	if err != nil {
		t.Fatal(err)
	}
	s := NewSettings()
	for _, row := range loader.MissingRows(string(page), Options(&s)) {
		t.Errorf("docs/CONFIGURATION.md lacks: %s", row)
	}
}

const validSettings = `{"process": "g", "domain": "d", "listen": "127.0.0.1:0", "ready-listen": "127.0.0.1:0",
 "peer-listen": "127.0.0.1:0", "metrics-listen": "127.0.0.1:0", "store-address": "127.0.0.1:1", `

func TestSettingsAreValidated(t *testing.T) {
	cases := []struct {
		more    string
		isValid bool
	}{
		{`"seeds": ["127.0.0.1:2"], "load-multiple": 1.5}`, true},
		{`"seeds": null}`, true},
		{`"load-multiple": 0.5}`, false},
		{`"load-spread": true}`, true},
		{`"load-spread": 1}`, false},
		{`"retry-ratio": -1}`, false},
		{`"memory-mb": 1}`, false},
		{`"contact-ms": 0}`, false},
		{`"listen": "somewhere"}`, false},
		{`"unknown": 1}`, false},
	}
	for _, c := range cases {
		s := NewSettings()
		err := loader.Load("test", []byte(validSettings+c.more), Options(&s))
		if c.isValid != (err == nil) || (err != nil && !errors.Is(err, loader.ErrSettings)) {
			t.Errorf("%s: %v", c.more, err)
		}
	}
}

// A deployment's figures may be fractions, and seconds are written in milliseconds with an exponent.
func TestFractionsAreRounded(t *testing.T) {
	s := NewSettings()
	more := `"shutdown-grace-ms": 8.25e3, "retry-window-ms": 10e3, "drain-ms": 2000.9, "memory-mb": 255.5, "cores": 1.5, "store-reads-per-second": 99.5}`
	if err := loader.Load("f", []byte(validSettings+more), Options(&s)); err != nil {
		t.Fatal(err)
	}
	if s.ShutdownGrace != 8250 || s.RetryWindow != 10_000 || s.DrainTime != 2000 || s.MemoryMB != 255 || s.Cores != 2 || s.StoreReadsPerSecond != 99 {
		t.Errorf("read as %+v", s)
	}
	for _, bad := range []string{`"drain-ms": 0.5}`, `"drain-ms": 1e300}`, `"drain-ms": "2000"}`, `"cores": 0}`, `"cores": -0.5}`} {
		s := NewSettings()
		if err := loader.Load("f", []byte(validSettings+bad), Options(&s)); !errors.Is(err, loader.ErrSettings) {
			t.Errorf("%s is accepted", bad)
		}
	}
}

// The template of the deployment writes each figure as the platform gives it, as in 8 and 8.25.
func TestDeploymentTemplateTakesFractions(t *testing.T) {
	raw, err := os.ReadFile("../../../deploy/gateway.settings.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, figure := range []string{"8", "8.25"} {
		text := regexp.MustCompile(`\{\{[#/][^}]*\}\}`).ReplaceAllString(string(raw), "")
		text = regexp.MustCompile(`\{\{(listen|platform)[^}]*\|json\}\}`).ReplaceAllString(text, `"127.0.0.1:0"`)
		text = regexp.MustCompile(`\{\{seed-nodes\|json\}\}`).ReplaceAllString(text, `[]`)
		text = regexp.MustCompile(`\{\{[^}]*\|json\}\}`).ReplaceAllString(text, `"n"`)
		text = strings.ReplaceAll(text, "{{bind-ip}}", "127.0.0.1")
		text = strings.ReplaceAll(text, "{{limits.memory-mb}}", "284")
		text = regexp.MustCompile(`\{\{[^}]*\}\}`).ReplaceAllString(text, figure)
		s := NewSettings()
		if err := loader.Load("f", []byte(text), Options(&s)); err != nil {
			t.Errorf("with the figure %s: %v", figure, err)
		}
	}
}
