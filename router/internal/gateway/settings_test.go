package gateway

import (
	"errors"
	"os"
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
