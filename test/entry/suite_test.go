// Package entry tests the entry mode of the daemon against the rules of the users'
// platform. The daemons run as separate processes; the platform's store and the servers
// are stand-ins inside the test process.
//
// Names of specs and messages of violations refer to the rules by these words:
//
//	CONFIG   A new configuration takes effect everywhere within a bound and never reverts.
//	DRAIN    A draining server, or leaving server, receives no new requests after a bound.
//	EVAC     The servers of an evacuated data centre receive no requests after a bound.
//	TWICE    A request that isn't safe to repeat runs at most once.
//	REFUSED  A request that was answered 429 or 503 has not run.
//	MIXED    A client receives the answer to its own request only.
//	ORDER    The events of a stream arrive complete and in order.
//	LOST     A planned stop of a daemon fails no request.
//	RECOVER  The daemons serve again within a bound after all were killed.
//	ROUTE    No request goes to an address that another server now uses.
//	GONE     The work for a client that has disconnected stops.
//	UNASKED  A server runs only what a client has sent, unchanged.
//	BUDGET   A server is given no more time than the client has left.
//
// The environment variable SEEDS replaces the seeds of the spec with random faults.
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

// binary is the path of the program under test.
var binary string

// TestEntry runs the specs, except those whose names match the regular expression in the
// environment variable SKIP.
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

// doneSignal is the part of a context.Context that the background loops of a spec use.
type doneSignal interface{ Done() <-chan struct{} }

// specContext returns a context for the background work of a spec.
func specContext() (context.Context, context.CancelFunc) {
	return context.WithCancel(context.Background())
}

// lastLeader returns the host of the leader in the last LeaderChanged event of a log
// file, or "" if there is none.
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
