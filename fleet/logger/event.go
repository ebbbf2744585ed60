package logger

const (
	levelInfo  = "info"
	levelWarn  = "warn"
	levelAlarm = "alarm"
)

// The events of all processes.
var (
	EventStarted            = Event{100, "process-started", levelInfo, "The process started; its listen addresses follow."}
	EventListening          = Event{101, "listening", levelInfo, "A listener is bound."}
	EventShutdownStarted    = Event{103, "shutdown-started", levelInfo, "No new work; running requests finish."}
	EventShutdownFinished   = Event{104, "shutdown-finished", levelInfo, "Every running request has finished."}
	EventConfigAccepted     = Event{200, "configuration-accepted", levelInfo, "A higher version is in force."}
	EventConfigInvalid      = Event{201, "configuration-invalid", levelAlarm, "A version was refused; the last good one stays."}
	EventConfigConflict     = Event{202, "configuration-conflict", levelAlarm, "Two contents carry one version."}
	EventServiceUnreachable = Event{203, "configuration-service-unreachable", levelWarn, "The configuration service did not answer."}
	EventPeerFailed         = Event{204, "peer-exchange-failed", levelWarn, "A peer did not answer an exchange."}
	EventVMListFailed       = Event{205, "vm-list-unreachable", levelWarn, "The VM list did not answer."}
	EventPeerRefused        = Event{206, "process-refused", levelAlarm, "A process without a known token asked for work."}
	EventEndpointDown       = Event{300, "endpoint-down", levelWarn, "The endpoint does not answer."}
	EventEndpointUp         = Event{301, "endpoint-up", levelInfo, "The endpoint answers again and is cold."}
	EventEndpointCold       = Event{302, "endpoint-cold", levelWarn, "The endpoint turned cold again."}
	EventEndpointLeaving    = Event{303, "endpoint-leaving", levelInfo, "The endpoint takes no new work."}
	EventSuspect            = Event{310, "request-suspected", levelWarn, "A request was in flight when its endpoint crashed."}
	EventCondemned          = Event{311, "request-condemned", levelAlarm, "A request crashed two endpoints and is refused."}
	EventCrossedAnswer      = Event{400, "crossed-answer", levelAlarm, "An answer to another attempt arrived and was dropped."}
	EventIncompleteAnswer   = Event{401, "incomplete-answer", levelWarn, "A stream ended without its end mark."}
	EventRetryBudgetEmpty   = Event{402, "retry-budget-empty", levelWarn, "A retry was not made since the budget is spent."}
)

// Catalogue returns every event in order of its number.
func Catalogue() []Event {
	return []Event{
		EventStarted, EventListening, EventShutdownStarted, EventShutdownFinished,
		EventConfigAccepted, EventConfigInvalid, EventConfigConflict, EventServiceUnreachable,
		EventPeerFailed, EventVMListFailed, EventPeerRefused,
		EventEndpointDown, EventEndpointUp, EventEndpointCold, EventEndpointLeaving,
		EventSuspect, EventCondemned,
		EventCrossedAnswer, EventIncompleteAnswer, EventRetryBudgetEmpty,
	}
}
