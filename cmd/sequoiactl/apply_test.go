package main

import (
	"strings"
	"testing"
)

func TestReadChangeDecodesVersionAndPipelines(t *testing.T) {
	request, err := readChange("testdata/change.json")
	if err != nil {
		t.Fatal(err)
	}
	if request.ExpectedVersion != 7 || len(request.Pipelines) != 1 || request.Pipelines[0].Stages[1].Idempotent {
		t.Errorf("got %v", request)
	}
}

func TestReadChangeErrorNamesUnknownField(t *testing.T) {
	_, err := readChange("testdata/unknown-field.json")
	if err == nil || !strings.Contains(err.Error(), "Colour") {
		t.Errorf("got %v, want an error that names Colour", err)
	}
}
