// Package entry proves the rules of the users' platform on daemons that run as separate
// processes before stand-ins of the store and the servers.
package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// binary is the program under test.
var binary string

// TestEntry runs the specs; the variable SKIP takes a regular expression of specs to pass
// over.
func TestEntry(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	if skip := os.Getenv("SKIP"); skip != "" {
		suite.SkipStrings = append(suite.SkipStrings, skip)
	}
	RunSpecs(t, "Entry", suite, reporter)
}

var _ = BeforeSuite(func() {
	binary = filepath.Join(GinkgoT().TempDir(), "sequoiapick")
	output, err := exec.Command("go", "build", "-o", binary, "../../cmd/sequoiapick").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(output))
})

// doneContext is what the loops of a spec need of a context.
type doneContext interface{ Done() <-chan struct{} }

func contextOfSpec() (context.Context, context.CancelFunc) {
	return context.WithCancel(context.Background())
}

// lastLeader returns whom the daemon last took for the leader.
func lastLeader(log string) string {
	file, err := os.Open(log)
	if err != nil {
		return ""
	}
	defer file.Close()
	leader := ""
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		var line struct{ Msg, Leader string }
		if json.Unmarshal(scanner.Bytes(), &line) == nil && line.Msg == "LeaderChanged" {
			leader = line.Leader
		}
	}
	return leader
}
