package dispatch

import (
	"time"
)

// Piece is one piece of a call.
type Piece struct {
	Job       string
	Stage     int
	Index     int
	Remaining time.Duration
	Key       string
	Inputs    []string
}

// PieceFailure says why a piece has no result.
type PieceFailure string

// The failures of a piece.
const (
	// Late means that the piece's time was over when its turn came.
	Late PieceFailure = "Late"
	// InputGone means that an input no longer exists.
	InputGone PieceFailure = "InputGone"
	// NoRoom means that the target had no memory for the result.
	NoRoom PieceFailure = "NoRoom"
	// Broken is any other failure.
	Broken PieceFailure = "Broken"
)

// Result is the outcome of one piece.
type Result struct {
	Handle  string
	Failure PieceFailure
}

// CallFailure says why a call has no answer.
type CallFailure string

// The failures of a call.
const (
	// Full means that the target refused the call.
	Full CallFailure = "Full"
	// Lost means that the call was sent and ended without an answer; the target works at it
	// all the same.
	Lost CallFailure = "Lost"
	// Unreached means that the target took no connection.
	Unreached CallFailure = "Unreached"
)

// Action is what the caller must do: a StartCall, FreeResults, Progress, Finish, Reject,
// Moved or Left.
type Action interface{ isAction() }

// StartCall sends a call to a target.
type StartCall struct {
	Call   uint64
	Target Target
	Pieces []Piece
	// Started is when the call was decided, Expected its predicted duration.
	Started  time.Time
	Expected time.Duration
	// Bytes is the room of the results.
	Bytes int64
}

// FreeResults gives results at a target up.
type FreeResults struct {
	Target  Target
	Handles []string
}

// Progress tells of results that were made for a job, so that another planner can go on
// from them.
type Progress struct {
	Job       string
	Completed []CompletedPiece
	// Released are the stages whose results were given up.
	Released []int
}

// Finish says that all stages of a job are done.
type Finish struct {
	Job string
	// Inputs are the results that the request itself needs.
	Inputs []string
	// InputBytes is the size of the inputs by data centre.
	InputBytes map[string]int64
	// StageTimings tells how the stages went.
	StageTimings []StageTiming
}

// Reject says that a job can't be done.
type Reject struct {
	Job        string
	Reason     Reason
	RetryAfter time.Duration
	// Service is the one that decided, Pressure the demand on it over what it can do.
	Service  string
	Pressure float64
	// StageTimings tells how far the stages had come.
	StageTimings []StageTiming
}

// HandedOver says that a job was handed over and what still runs for it.
type HandedOver struct {
	Job     string
	Running []RunningPiece
}

// HandoverComplete says that nothing runs any more for a job that was handed over.
type HandoverComplete struct {
	Job string
}

// Reason says why a job was rejected.
type Reason string

// The reasons of a rejection.
const (
	// TooLate means that the stages can't be done before the deadline.
	TooLate Reason = "TooLate"
	// Overloaded means that other work goes first.
	Overloaded Reason = "Overloaded"
	// Failing means that pieces failed too often.
	Failing Reason = "Failing"
	// NoTarget means that a service has no usable target.
	NoTarget Reason = "NoTarget"
)

func (StartCall) isAction()        {}
func (FreeResults) isAction()      {}
func (Progress) isAction()         {}
func (Finish) isAction()           {}
func (Reject) isAction()           {}
func (HandedOver) isAction()       {}
func (HandoverComplete) isAction() {}
