package logger

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

func TestCatalogueMatchesThePage(t *testing.T) {
	page, err := os.ReadFile("../../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	last := 0
	for _, e := range Catalogue() {
		row := fmt.Sprintf("| %d | `%s` | %s | %s |", e.Number, e.Name, e.Level, e.Meaning)
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/EVENTS.md lacks: %s", row)
		}
		if e.Number <= last {
			t.Errorf("event %d is out of order", e.Number)
		}
		last = e.Number
	}
	if rows := strings.Count(string(page), "\n| ") - 2; rows != len(Catalogue()) {
		t.Errorf("docs/EVENTS.md has %d rows for %d events", rows, len(Catalogue()))
	}
}
