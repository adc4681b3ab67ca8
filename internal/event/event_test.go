package event_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/sequoiapick/sequoiapick/internal/event"
)

func TestCatalogueEqualsDocumentedEvents(t *testing.T) {
	body, err := os.ReadFile("../../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	var documented []string
	for line := range strings.Lines(string(body)) {
		if strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| Number") && !strings.HasPrefix(line, "| ---") {
			documented = append(documented, strings.TrimSpace(line))
		}
	}
	catalogue := event.Catalogue()
	if len(documented) != len(catalogue) {
		t.Fatalf("docs/EVENTS.md has %d events, the catalogue has %d", len(documented), len(catalogue))
	}
	for i, e := range catalogue {
		if row := fmt.Sprintf("| %d | %s | %s |", e.Number, e.Name, e.Meaning); documented[i] != row {
			t.Errorf("docs/EVENTS.md has %q, want %q", documented[i], row)
		}
	}
}
