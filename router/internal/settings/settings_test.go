package settings

import (
	"os"
	"strings"
	"testing"
)

func TestOptionsMatchThePage(t *testing.T) {
	page, err := os.ReadFile("../../../docs/CONFIGURATION.md")
	if err != nil {
		t.Fatal(err)
	}
	s := NewSettings()
	for _, o := range Options(&s) {
		if !strings.Contains(string(page), o.Row()) {
			t.Errorf("docs/CONFIGURATION.md lacks: %s", o.Row())
		}
	}
}
