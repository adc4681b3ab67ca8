// Package test tests the promises of the system on daemons, targets and a platform that run
// as separate processes. The platform and the targets are stand-ins. A promise is a property
// that the system guarantees under faults, such as at most one run of a request with a key.
// Each promise is a Describe block with its number in the name; the patches in the directory
// ablation name the specs that must fail with them by it. The other blocks test what isn't
// numbered.
//
// These terms are used throughout:
//
//	platform   The system that hosts the daemons. It provides the list of hosts and the table
//	           that stores claims, drafts and the configuration.
//	target     A back end that runs one stage of a pipeline, such as a model server.
//	cold       Said of a target that has just started. It is slower and allows only as many
//	           concurrent requests as its cold limit, until it has warmed up.
//	guardian   The daemon that alone may send requests to a target while that is cold. It also
//	           sends the orders of operators to the target.
//	ticket     A key that a daemon has issued in advance. It needs no claim.
//	claim      The row in the table that makes a daemon the owner of a key that a caller chose.
//	draft      An asynchronous request, accepted with status 202.
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
