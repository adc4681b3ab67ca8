package problem_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/sequoiapick/sequoiapick/pkg/problem"
)

func TestErrorsPageListsEveryKind(t *testing.T) {
	body, err := os.ReadFile("../../docs/ERRORS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, kind := range problem.Kinds() {
		a := kind.Answer()
		if row := fmt.Sprintf("| %s | %d | %s | %t |", kind, a.HTTPStatus, a.RPCCode, a.Retriable); !strings.Contains(string(body), row) {
			t.Errorf("docs/ERRORS.md lacks %q", row)
		}
	}
}

func TestKindAndDetailAreFoundInWrappedError(t *testing.T) {
	err := errors.Wrap(problem.New(problem.Late, "after %d ms", 5), "run")
	if problem.Of(err) != problem.Late || problem.Detail(err) != "after 5 ms" {
		t.Errorf("got %s %q", problem.Of(err), problem.Detail(err))
	}
	if problem.Of(errors.New("other")) != problem.Internal {
		t.Error("the kind of an error without a kind is not Internal")
	}
}
