// Package request defines a caller's request, its answer, and the record of the attempts that
// may have been sent to targets for it.
//
// # Usage
//
//	var record request.SendRecord
//	intent, err := record.RecordIntent(stage.Idempotent)
//	// send the attempt; if no byte has left:
//	intent.Withdraw()
//	notRun := record.Seal()
package request

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// Request is one run of a pipeline for a caller.
type Request struct {
	ID      string
	Account string
	// Key is the idempotency key; empty means none.
	Key      string
	Pipeline string
	Tier     string
	Input    []byte
	// Deadline is the time by which the whole answer must have arrived.
	Deadline time.Time
}

// StageCost is the cost of one stage of a request. Its JSON form is part of the answer.
type StageCost struct {
	Stage string
	// Target is the target of the first attempt that was charged.
	Target string
	// Attempts is the number of attempts that may have reached a target.
	Attempts int
	// CostMicros is the cost of all attempts in millionths of the currency unit.
	CostMicros int64
	// Tokens is the number of tokens of the output as stated by the target; 0 if unknown.
	Tokens int64
	// Millis is the duration of the stage in milliseconds.
	Millis int64
}

// Answer is the answer to a request. Its JSON form is sent to the caller.
type Answer struct {
	RequestID string
	Pipeline  string
	Tier      string
	Text      string
	// Bytes is the length of Text in bytes.
	Bytes int64
	// Tokens is StageCost.Tokens of the last stage.
	Tokens int64
	// PriceMicros is the price of the tier in millionths of the currency unit.
	PriceMicros int64
	// Stages lists the stages that were run, in the order of the pipeline.
	Stages []StageCost
	// Whole is true in a complete answer. It tells the caller that nothing is missing.
	Whole bool
}

// NewID returns a new request ID, which starts with the incarnation of this daemon. The
// incarnation must not contain a hyphen, as Incarnation cuts the ID there.
func NewID(incarnation string) string {
	return incarnation + "-" + strings.ReplaceAll(uuid.NewString(), "-", "")[:16]
}

// Incarnation returns the incarnation of the daemon that issued the request ID.
func Incarnation(id string) string {
	before, _, _ := strings.Cut(id, "-")
	return before
}

// Fingerprint returns a hash of the request's content. It shows whether a key is used again for
// a different request.
func Fingerprint(pipeline, tier string, input []byte) uint64 {
	digest := xxhash.New()
	for _, part := range [][]byte{[]byte(pipeline), []byte(tier), input} {
		_, _ = digest.Write(part)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}
