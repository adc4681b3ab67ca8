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
	SettingsRead        = Event{105, "SettingsRead", "the settings file was read again"}
	SettingsRefused     = Event{106, "SettingsRefused", "a changed settings file isn't valid, the old settings stay in force"}
	LinesDropped        = Event{107, "LinesDropped", "log lines were dropped to keep the volume bounded"}
	TaskFailed          = Event{108, "TaskFailed", "a task that the daemon needs has failed, the process ends"}
	RequestAdmitted     = Event{200, "RequestAdmitted", "a request was admitted under a configuration version"}
	RequestRefused      = Event{201, "RequestRefused", "a request was refused before it ran"}
	RequestAnswered     = Event{202, "RequestAnswered", "the whole answer was produced"}
	RequestFailed       = Event{203, "RequestFailed", "a request failed after it was admitted"}
	EntryRefused        = Event{204, "EntryRefused", "a client's request was refused or failed"}
	EntryAnswered       = Event{207, "EntryAnswered", "a client's request was answered by a target"}
	EntryAbandoned      = Event{205, "EntryAbandoned", "a client left before its answer"}
	StreamBroken        = Event{206, "StreamBroken", "a stream was broken off before its end"}
	StageRouted         = Event{300, "StageRouted", "a target was chosen for an attempt"}
	StageHeld           = Event{301, "StageHeld", "a stage waits for capacity"}
	StageRefused        = Event{302, "StageRefused", "no target can take a stage"}
	AttemptFailed       = Event{303, "AttemptFailed", "an attempt failed"}
	AttemptForwarded    = Event{304, "AttemptForwarded", "an attempt was handed to the guardian of a cold target"}
	AttemptHedged       = Event{305, "AttemptHedged", "a second attempt was started beside a slow one"}
	LateAnswerDropped   = Event{306, "LateAnswerDropped", "the answer of an attempt that had lost was dropped"}
	EngineAssigned      = Event{309, "EngineAssigned", "the stages of a request are done and its engine is chosen"}
	JobRejected         = Event{310, "JobRejected", "the stages of a request can't be done"}
	StageCallEnded      = Event{311, "StageCallEnded", "a call to a stage target has its results"}
	WorkHandedOver      = Event{312, "WorkHandedOver", "the requests that this daemon worked on go to the new leader"}
	WorkInherited       = Event{313, "WorkInherited", "this daemon goes on from what a leader had that doesn't answer any more"}
	StageCallFailed     = Event{307, "StageCallFailed", "a call to a stage target failed, its pieces go to another"}
	TargetDeclined      = Event{308, "TargetDeclined", "an assigned target is known here to take no new work"}
	TargetCold          = Event{400, "TargetCold", "a target turned cold"}
	TargetLeaving       = Event{401, "TargetLeaving", "a target is leaving"}
	TargetMalformed     = Event{402, "TargetMalformed", "an entry of the platform's store can't be read and names nothing to use"}
	MembershipAdopted   = Event{500, "MembershipAdopted", "the daemon acts on a membership epoch"}
	MembershipFrozen    = Event{501, "MembershipFrozen", "membership can't change because the platform's table is out of reach"}
	MemberSwept         = Event{502, "MemberSwept", "a member whose host is no longer listed was removed"}
	PauseDetected       = Event{503, "PauseDetected", "the process was paused"}
	LinkLost            = Event{504, "LinkLost", "the link to another daemon was lost and will be opened again"}
	LeaderChanged       = Event{505, "LeaderChanged", "another daemon leads the dispatch of stages"}
	MemberLearned       = Event{506, "MemberLearned", "another daemon, or a new start of one, was heard of"}
	DataCentreCut       = Event{507, "DataCentreCut", "a data centre can't be reached from here"}
	DataCentreReached   = Event{508, "DataCentreReached", "a data centre can be reached again"}
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
		DaemonStarted, DaemonStopping, DaemonStopped, StepFailed, LoopFailed, SettingsRead, SettingsRefused,
		LinesDropped, TaskFailed,
		RequestAdmitted, RequestRefused, RequestAnswered, RequestFailed, EntryRefused, EntryAbandoned, StreamBroken,
		EntryAnswered,
		StageRouted, StageHeld, StageRefused, AttemptFailed, AttemptForwarded, AttemptHedged, LateAnswerDropped,
		StageCallFailed, TargetDeclined, EngineAssigned, JobRejected, StageCallEnded, WorkHandedOver, WorkInherited,
		TargetCold, TargetLeaving, TargetMalformed,
		MembershipAdopted, MembershipFrozen, MemberSwept, PauseDetected, LinkLost, LeaderChanged, MemberLearned,
		DataCentreCut, DataCentreReached,
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
