// Package request describes one caller's request, its answer, and the record of what
// it has sent to targets.
//
// # Usage
//
//	var sends request.Sends
//	intent, err := sends.Intend(stage.Idempotent)
//	// send; if no byte has left:
//	intent.Withdraw()
//	notRun := sends.Seal()
package request

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// Request is one run of a pipeline for a caller.
type Request struct {
	ID       string
	Account  string
	Key      string
	Pipeline string
	Tier     string
	Input    []byte
	Deadline time.Time
}

// StageCost is what one stage of a request has cost.
type StageCost struct {
	Stage      string
	Target     string
	Attempts   int
	CostMicros int64
	Tokens     int64
	Millis     int64
}

// Answer is the whole answer to a request.
type Answer struct {
	RequestID string
	Pipeline  string
	Tier      string
	Text      string
	// Bytes is the length of Text.
	Bytes       int64
	Tokens      int64
	PriceMicros int64
	Stages      []StageCost
	// Whole is the end mark of an answer that is not streamed.
	Whole bool
}

// NewID returns a request ID that names the incarnation of the daemon that made it.
func NewID(incarnation string) string {
	return incarnation + "-" + strings.ReplaceAll(uuid.NewString(), "-", "")[:16]
}

// Incarnation returns the incarnation of the daemon that made the ID.
func Incarnation(id string) string {
	before, _, _ := strings.Cut(id, "-")
	return before
}

// Fingerprint identifies what a key was used for.
func Fingerprint(pipeline, tier string, input []byte) uint64 {
	digest := xxhash.New()
	for _, part := range [][]byte{[]byte(pipeline), []byte(tier), input} {
		_, _ = digest.Write(part)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}
