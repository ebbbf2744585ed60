package configurator

import (
	"os"
	"strings"
	"testing"

	"cardamompulley/fleet/model"
)

// codeBlocks returns the bodies of a page's hujson code blocks with the given label.
func codeBlocks(page, label string) []string {
	var found []string
	parts := strings.Split(page, "```hujson "+label+"\n")
	for _, p := range parts[1:] {
		body, _, _ := strings.Cut(p, "```")
		found = append(found, body)
	}

	return found
}

func TestDocumentationExamplesApply(t *testing.T) {
	raw, err := os.ReadFile("../../docs/CONFIGURATION.md")
	if err != nil {
		t.Fatal(err)
	}
	documents, patches := codeBlocks(string(raw), "document"), codeBlocks(string(raw), "patch")
	if len(documents) != 1 || len(patches) < 3 {
		t.Fatalf("found %d documents and %d patches in the documentation, want 1 and at least 3", len(documents), len(patches))
	}
	var document model.Document
	if err := DecodeStrict([]byte(documents[0]), &document); err != nil {
		t.Fatal(err)
	}
	if err := Validate(document); err != nil {
		t.Fatal(err)
	}
	version := model.Version(1)
	for i, text := range patches {
		p, err := ParsePatch([]byte(text))
		if err != nil {
			t.Fatalf("patch %d: %v", i+1, err)
		}
		document, err = Apply(document, version, p)
		if err != nil {
			t.Fatalf("patch %d: %v", i+1, err)
		}
		version++
	}
}
