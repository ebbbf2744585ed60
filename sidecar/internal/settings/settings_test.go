package settings

import (
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
