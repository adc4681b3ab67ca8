// Package event is the catalogue of numbered log events. docs/EVENTS.md lists them
// for operators; a test holds the two together.
//
// # Usage
//
//	log := event.Log{Logger: logger}
//	log.Emit(event.StageRouted, "Request", id, "Target", name)
package event

import (
	"github.com/go-logr/logr"
)

// Event is one entry of the catalogue.
type Event struct {
	Number  int
	Name    string
	Meaning string
}

// The catalogue.
var (
	DaemonStarted       = Event{100, "DaemonStarted", "the daemon serves on its addresses"}
	DaemonStopping      = Event{101, "DaemonStopping", "a planned stop has begun"}
	DaemonStopped       = Event{102, "DaemonStopped", "the planned stop has ended"}
	StepFailed          = Event{103, "StepFailed", "a step of the start or stop failed"}
	LoopFailed          = Event{104, "LoopFailed", "a periodic task failed and will be tried again"}
	RequestAdmitted     = Event{200, "RequestAdmitted", "a request was admitted under a configuration version"}
	RequestRefused      = Event{201, "RequestRefused", "a request was refused before it ran"}
	RequestAnswered     = Event{202, "RequestAnswered", "the whole answer was produced"}
	RequestFailed       = Event{203, "RequestFailed", "a request failed after it was admitted"}
	StageRouted         = Event{300, "StageRouted", "a target was chosen for an attempt"}
	StageHeld           = Event{301, "StageHeld", "a stage waits for capacity"}
	StageRefused        = Event{302, "StageRefused", "no target can take a stage"}
	AttemptFailed       = Event{303, "AttemptFailed", "an attempt failed"}
	AttemptForwarded    = Event{304, "AttemptForwarded", "an attempt was handed to the guardian of a cold target"}
	AttemptHedged       = Event{305, "AttemptHedged", "a second attempt was started beside a slow one"}
	LateAnswerDropped   = Event{306, "LateAnswerDropped", "the answer of an attempt that had lost was dropped"}
	TargetCold          = Event{400, "TargetCold", "a target turned cold"}
	TargetLeaving       = Event{401, "TargetLeaving", "a target is leaving"}
	MembershipAdopted   = Event{500, "MembershipAdopted", "the daemon acts on a membership epoch"}
	MembershipFrozen    = Event{501, "MembershipFrozen", "membership can't change because the platform's table is out of reach"}
	MemberSwept         = Event{502, "MemberSwept", "a member whose host is no longer listed was removed"}
	PauseDetected       = Event{503, "PauseDetected", "the process was paused"}
	ConfigurationRaised = Event{600, "ConfigurationRaised", "a newer configuration is in force"}
	ConfigurationStale  = Event{601, "ConfigurationStale", "an older configuration was refused"}
	DataCentreOut       = Event{602, "DataCentreOut", "an order takes a data centre out"}
	DataCentreIn        = Event{603, "DataCentreIn", "the orders that took a data centre out are cancelled"}
	KeyClaimed          = Event{700, "KeyClaimed", "an idempotency key was claimed in the platform's table"}
	KeyForwarded        = Event{701, "KeyForwarded", "a keyed request was handed to the owner of its key"}
	KeyUnverified       = Event{702, "KeyUnverified", "the earlier use of a key can't be looked up"}
	KeysHandedOver      = Event{703, "KeysHandedOver", "keys and kept answers went to the successor"}
	KeysInherited       = Event{704, "KeysInherited", "keys and kept answers of a stopped daemon were taken over"}
	DraftAccepted       = Event{800, "DraftAccepted", "an asynchronous request is durable"}
	DraftTakenOver      = Event{801, "DraftTakenOver", "an asynchronous request was taken over from a lost daemon"}
	DraftFinished       = Event{802, "DraftFinished", "an asynchronous request has its final result"}
	OrderSent           = Event{900, "OrderSent", "an order went to a target"}
	OrderRefused        = Event{901, "OrderRefused", "an order was refused or not sent"}
)

// Catalogue lists every event by number.
func Catalogue() []Event {
	return []Event{
		DaemonStarted, DaemonStopping, DaemonStopped, StepFailed, LoopFailed,
		RequestAdmitted, RequestRefused, RequestAnswered, RequestFailed,
		StageRouted, StageHeld, StageRefused, AttemptFailed, AttemptForwarded, AttemptHedged, LateAnswerDropped,
		TargetCold, TargetLeaving,
		MembershipAdopted, MembershipFrozen, MemberSwept, PauseDetected,
		ConfigurationRaised, ConfigurationStale, DataCentreOut, DataCentreIn,
		KeyClaimed, KeyForwarded, KeyUnverified, KeysHandedOver, KeysInherited,
		DraftAccepted, DraftTakenOver, DraftFinished,
		OrderSent, OrderRefused,
	}
}

// Log writes events; the zero value drops them.
type Log struct {
	Logger logr.Logger
}

// Emit writes one event with its number, name and values.
func (l Log) Emit(e Event, keysAndValues ...any) {
	l.Logger.Info(e.Name, append([]any{"Event", e.Number}, keysAndValues...)...)
}
