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
	EventReloaded           = Event{105, "settings-reloaded", levelInfo, "The settings were read anew; those that can change are in force."}
	EventSettingsInvalid    = Event{106, "settings-invalid", levelAlarm, "Changed settings were refused; the old ones stay."}
	EventListenerFailed     = Event{107, "listener-failed", levelAlarm, "A listener ended while the process runs."}
	EventConfigAccepted     = Event{200, "configuration-accepted", levelInfo, "A higher version is in force."}
	EventConfigInvalid      = Event{201, "configuration-invalid", levelAlarm, "A version was refused; the last good one stays."}
	EventConfigConflict     = Event{202, "configuration-conflict", levelAlarm, "Two contents carry one version."}
	EventServiceUnreachable = Event{203, "configuration-service-unreachable", levelWarn, "The configuration service did not answer."}
	EventPeerFailed         = Event{204, "peer-exchange-failed", levelWarn, "A peer did not answer an exchange."}
	EventVMListFailed       = Event{205, "vm-list-unreachable", levelWarn, "The VM list did not answer."}
	EventPeerRefused        = Event{206, "process-refused", levelAlarm, "A process without a known token asked for work."}
	EventStoreLost          = Event{210, "store-lost", levelWarn, "The platform's store did not answer; the last state stays."}
	EventStoreRegained      = Event{211, "store-regained", levelInfo, "The platform's store answers again."}
	EventRangeReplaced      = Event{212, "range-replaced", levelInfo, "A range of the store was taken whole, from the store or a peer."}
	EventGatewayLost        = Event{213, "gateway-lost", levelWarn, "Another gateway does not answer; its counts are no longer believed."}
	EventGatewayRegained    = Event{214, "gateway-regained", levelInfo, "Another gateway answers."}
	EventDomainOut          = Event{215, "domain-out", levelInfo, "Operators have taken a failure domain out."}
	EventDomainIn           = Event{216, "domain-in", levelInfo, "A failure domain is back."}
	EventEndpointAdded      = Event{220, "endpoint-added", levelInfo, "An endpoint is listed."}
	EventEndpointRemoved    = Event{221, "endpoint-removed", levelInfo, "An endpoint is listed no more."}
	EventEndpointUnreadable = Event{222, "endpoint-unreadable", levelWarn, "An entry of the list of endpoints names none to use."}
	EventEndpointDown       = Event{300, "endpoint-down", levelWarn, "The endpoint does not answer."}
	EventEndpointUp         = Event{301, "endpoint-up", levelInfo, "The endpoint answers again; it may be cold."}
	EventEndpointCold       = Event{302, "endpoint-cold", levelWarn, "The endpoint turned cold again."}
	EventEndpointLeaving    = Event{303, "endpoint-leaving", levelInfo, "The endpoint takes no new work."}
	EventEndpointDoubted    = Event{304, "endpoint-doubted", levelWarn, "The endpoint fails more requests than others of its service; requests that may run only once keep away from it."}
	EventEndpointTrusted    = Event{305, "endpoint-trusted", levelInfo, "The endpoint is not doubted any more."}
	EventSuspect            = Event{310, "request-suspected", levelWarn, "A request was in flight when its endpoint crashed."}
	EventCondemned          = Event{311, "request-condemned", levelAlarm, "A request crashed two endpoints and is refused."}
	EventCrossedAnswer      = Event{400, "crossed-answer", levelAlarm, "An answer to another attempt arrived and was dropped."}
	EventIncompleteAnswer   = Event{401, "incomplete-answer", levelWarn, "A stream ended without its end mark."}
	EventRetryBudgetEmpty   = Event{402, "retry-budget-empty", levelWarn, "A retry was not made since the budget is spent."}
	EventAttemptFailed      = Event{410, "attempt-failed", levelWarn, "An endpoint did not serve a request; the request may go on elsewhere."}
	EventRequestServed      = Event{411, "request-served", levelInfo, "An endpoint's answer was delivered."}
	EventRequestRefused     = Event{412, "request-refused", levelWarn, "A request ended without an endpoint's answer."}
	EventStreamCut          = Event{413, "stream-cut", levelWarn, "A stream was broken off before its end."}
	EventStreamResumed      = Event{414, "stream-resumed", levelInfo, "A stream goes on at another endpoint."}
	EventCallerGone         = Event{415, "caller-gone", levelInfo, "The caller left before its answer was complete."}
)

// Catalogue returns every event in order of its number.
func Catalogue() []Event {
	return []Event{
		EventStarted, EventListening, EventShutdownStarted, EventShutdownFinished,
		EventReloaded, EventSettingsInvalid, EventListenerFailed,
		EventConfigAccepted, EventConfigInvalid, EventConfigConflict, EventServiceUnreachable,
		EventPeerFailed, EventVMListFailed, EventPeerRefused,
		EventStoreLost, EventStoreRegained, EventRangeReplaced, EventGatewayLost, EventGatewayRegained,
		EventDomainOut, EventDomainIn, EventEndpointAdded, EventEndpointRemoved, EventEndpointUnreadable,
		EventEndpointDown, EventEndpointUp, EventEndpointCold, EventEndpointLeaving, EventEndpointDoubted, EventEndpointTrusted,
		EventSuspect, EventCondemned,
		EventCrossedAnswer, EventIncompleteAnswer, EventRetryBudgetEmpty,
		EventAttemptFailed, EventRequestServed, EventRequestRefused, EventStreamCut, EventStreamResumed, EventCallerGone,
	}
}
