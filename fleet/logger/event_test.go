package logger

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

func TestEventsMatchDocumentation(t *testing.T) {
	page, err := os.ReadFile("../../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	last := 0
	for _, e := range AllEvents() {
		row := fmt.Sprintf("| %d | `%s` | %s | %s |", e.Number, e.Name, e.Level, e.Meaning)
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/EVENTS.md has no row: %s", row)
		}
		if e.Number <= last {
			t.Errorf("event %d is out of order", e.Number)
		}
		last = e.Number
	}
	if rows := strings.Count(string(page), "\n| ") - 2; rows != len(AllEvents()) {
		t.Errorf("docs/EVENTS.md has %d rows for %d events", rows, len(AllEvents()))
	}
}
