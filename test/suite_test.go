// Package test tests the promises of the system on daemons, targets and a platform that run
// as separate processes. The platform and the targets are stand-ins. Each promise is a
// Describe block; its number is part of the name, by which the ablation patches select it.
//
// The environment variable SEEDS replaces the seeds of the specs with random faults. The
// specs with the labels measure and policy print figures and run only if the label filter
// selects them.
package test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// defaultLabelFilter excludes the specs that measure, which take long and print figures.
const defaultLabelFilter = "!measure && !policy"

// TestSystem runs the specs that a label filter selects, by default all that don't measure.
// Specs whose names match the regular expression in the environment variable SKIP are
// skipped.
func TestSystem(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	if suite.LabelFilter == "" {
		suite.LabelFilter = defaultLabelFilter
	}
	if skip := os.Getenv("SKIP"); skip != "" {
		suite.SkipStrings = append(suite.SkipStrings, skip)
	}
	RunSpecs(t, "System", suite, reporter)
}

var _ = BeforeSuite(func() {
	binaries = GinkgoT().TempDir()
	for name, path := range map[string]string{
		"sequoiapick": "../cmd/sequoiapick",
		"sequoiactl":  "../cmd/sequoiactl",
		"standind":    "../internal/standin/standind",
	} {
		output, err := exec.Command("go", "build", "-o", filepath.Join(binaries, name), path).CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(output))
	}
})
