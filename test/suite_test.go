// Package test proves the promises of the system on separate processes.
package test

import (
	"os/exec"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSystem(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "System")
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
