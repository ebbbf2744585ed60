package logger

const (
	levelInfo  = "info"
	levelWarn  = "warn"
	levelAlarm = "alarm"
)

// The events of all processes. Numbers and names are stable; operators match on them.
var (
	EventProcessStarted           = Event{100, "process-started", levelInfo, "The process has started; its listen addresses follow."}
	EventListening                = Event{101, "listening", levelInfo, "A listener is bound to its address."}
	EventShutdownStarted          = Event{103, "shutdown-started", levelInfo, "Shutdown has begun: no new requests are accepted, running ones are drained."}
	EventShutdownFinished         = Event{104, "shutdown-finished", levelInfo, "Shutdown is complete: all running requests have finished or the grace period has ended."}
	EventSettingsReloaded         = Event{105, "settings-reloaded", levelInfo, "The settings file was reloaded; changes to reloadable settings are in force."}
	EventSettingsInvalid          = Event{106, "settings-invalid", levelAlarm, "The changed settings file is invalid and was rejected; the previous settings stay in force."}
	EventListenerFailed           = Event{107, "listener-failed", levelAlarm, "A listener stopped while the process is running."}
	EventConnClosedAtShutdown     = Event{108, "connection-closed-at-shutdown", levelInfo, "A caller's connection that waited for a request was closed during shutdown."}
	EventRequestDropped           = Event{109, "request-dropped", levelWarn, "A caller's connection was closed during shutdown although a request, or a part of one, had been read and nothing was answered."}
	EventConfigAccepted           = Event{200, "configuration-accepted", levelInfo, "A newer configuration version is in force."}
	EventConfigInvalid            = Event{201, "configuration-invalid", levelAlarm, "A configuration version is invalid and was rejected; the last valid one stays in force."}
	EventConfigConflict           = Event{202, "configuration-conflict", levelAlarm, "Two different configurations have the same version number."}
	EventConfigServiceUnreachable = Event{203, "configuration-service-unreachable", levelWarn, "The configuration service did not respond."}
	EventPeerExchangeFailed       = Event{204, "peer-exchange-failed", levelWarn, "A state exchange with a peer failed."}
	EventVMListUnreachable        = Event{205, "vm-list-unreachable", levelWarn, "The VM list could not be fetched."}
	EventProcessRefused           = Event{206, "process-refused", levelAlarm, "A process without a known token was refused."}
	EventStoreUnreachable         = Event{210, "store-lost", levelWarn, "The platform's store does not respond; the last known state stays in use."}
	EventStoreReachable           = Event{211, "store-regained", levelInfo, "The platform's store responds again."}
	EventRangeReplaced            = Event{212, "range-replaced", levelInfo, "A range of the store was replaced by a full copy from the store or a peer."}
	EventGatewayUnreachable       = Event{213, "gateway-lost", levelWarn, "Another gateway does not respond; its load counts are no longer used."}
	EventGatewayReachable         = Event{214, "gateway-regained", levelInfo, "Another gateway responds again."}
	EventDomainOutOfService       = Event{215, "domain-out", levelInfo, "Operators have taken a failure domain out of service."}
	EventDomainInService          = Event{216, "domain-in", levelInfo, "A failure domain is back in service."}
	EventStoreRestored            = Event{217, "store-restored", levelWarn, "The platform's store has come back from a copy: it lacks the latest changes and uses their revisions again."}
	EventEndpointAdded            = Event{220, "endpoint-added", levelInfo, "An endpoint was added to the endpoint list."}
	EventEndpointRemoved          = Event{221, "endpoint-removed", levelInfo, "An endpoint was removed from the endpoint list."}
	EventHistoryRead              = Event{218, "history-read", levelInfo, "The changes that the store still holds were read, to learn which software versions have served before this process."}
	EventHistoryUnread            = Event{219, "history-unread", levelWarn, "The changes that the store still holds could not be read."}
	EventEndpointUnreadable       = Event{222, "endpoint-unreadable", levelWarn, "An entry of the endpoint list is invalid and was ignored."}
	EventOriginCallFailed         = Event{223, "origin-call-failed", levelWarn, "Another gateway did not answer a call about the origins of streams; origins are sent again."}
	EventCachedPartCallFailed     = Event{224, "cached-part-call-failed", levelWarn, "Another gateway did not answer a call about cached prompt parts; the endpoints are asked directly."}
	EventReaderDistrusted         = Event{225, "reader-distrusted", levelWarn, "A gateway that reads the store for this one has not kept it up to date; this one looks at the store itself."}
	EventGossipPaused             = Event{226, "gossip-paused", levelWarn, "Calls between gateways have used up their budget for a second: gossip is down to the part that it has for itself, and carries loads and what else is urgent."}
	EventGossipContinued          = Event{227, "gossip-continued", levelInfo, "Gossip has its budget again."}
	EventEndpointDown             = Event{300, "endpoint-down", levelWarn, "The endpoint does not respond."}
	EventEndpointUp               = Event{301, "endpoint-up", levelInfo, "The endpoint responds again; it may be cold."}
	EventEndpointCold             = Event{302, "endpoint-cold", levelWarn, "The endpoint is cold again."}
	EventEndpointDraining         = Event{303, "endpoint-leaving", levelInfo, "The endpoint is draining and accepts no new requests."}
	EventOutlierDetected          = Event{304, "endpoint-doubted", levelWarn, "Outlier detected: the endpoint fails more requests than the others of its service; requests that may run only once avoid it."}
	EventOutlierRecovered         = Event{305, "endpoint-trusted", levelInfo, "The endpoint is no longer an outlier."}
	EventEndpointLimited          = Event{306, "endpoint-limited", levelWarn, "The endpoint has advertised, or changed, the requests a second that it takes from all gateways."}
	EventEndpointUnlimited        = Event{307, "endpoint-unlimited", levelInfo, "The endpoint does not advertise a limit any more."}
	EventCacheListUnread          = Event{308, "cache-list-unread", levelWarn, "The endpoint has not listed what it has cached."}
	EventEndpointSaysLeaving      = Event{309, "endpoint-says-leaving", levelInfo, "The endpoint has said in an answer that it leaves; it gets no more requests from this gateway."}
	EventRequestSuspected         = Event{310, "request-suspected", levelWarn, "A request was in flight when its endpoint crashed; the crash counts against it, or against a part of its prompt."}
	EventRequestQuarantined       = Event{311, "request-condemned", levelAlarm, "A request has crashed as many endpoints as are tolerated and is quarantined."}
	EventSuspectLearned           = Event{312, "suspect-learned", levelInfo, "Another gateway has reported crashes of a request that this one did not know."}
	EventSuspectCleared           = Event{313, "suspect-cleared", levelInfo, "A suspect was served, here or at another gateway; no crashes count against it any more."}
	EventEndpointBackoff          = Event{320, "endpoint-backoff", levelInfo, "The endpoint has turned a request away and wants no more from this gateway for a while."}
	EventResponseMismatch         = Event{400, "crossed-answer", levelAlarm, "A response to another attempt arrived and was dropped."}
	EventIncompleteResponse       = Event{401, "incomplete-answer", levelWarn, "A stream ended without its end marker."}
	EventRetryBudgetExhausted     = Event{402, "retry-budget-empty", levelWarn, "A retry was not made because the retry budget is exhausted."}
	EventAttemptFailed            = Event{410, "attempt-failed", levelWarn, "An endpoint did not serve a request; another endpoint may be tried."}
	EventRequestServed            = Event{411, "request-served", levelInfo, "A response of an endpoint was delivered to the caller."}
	EventRequestRefused           = Event{412, "request-refused", levelWarn, "A request ended without a response of an endpoint."}
	EventStreamInterrupted        = Event{413, "stream-cut", levelWarn, "A stream was interrupted before its end."}
	EventStreamResumed            = Event{414, "stream-resumed", levelInfo, "A stream was resumed at another endpoint."}
	EventCallerDisconnected       = Event{415, "caller-gone", levelInfo, "The caller disconnected before its response was complete."}
	EventStreamOriginFound        = Event{416, "stream-origin", levelInfo, "A caller resumes a stream: what the gateways know of the software version that began it."}
	EventServiceFull              = Event{420, "service-full", levelWarn, "A service without an engine gets more requests than it serves in time: this gateway limits its own, lets them wait and refuses some."}
	EventServiceHasRoom           = Event{421, "service-has-room", levelInfo, "The service has room again; this gateway does not limit its requests any more."}
	EventServiceShort             = Event{422, "service-short", levelWarn, "An engine service gets more requests than its engines serve in time: a tenth of its less urgent requests is promoted until that ends."}
	EventServiceShortEnded        = Event{423, "service-short-ended", levelInfo, "The engines of the service serve its requests in time again."}
)

// AllEvents returns all events in ascending order of their numbers.
func AllEvents() []Event {
	return []Event{
		EventProcessStarted, EventListening, EventShutdownStarted, EventShutdownFinished,
		EventSettingsReloaded, EventSettingsInvalid, EventListenerFailed,
		EventConnClosedAtShutdown, EventRequestDropped,
		EventConfigAccepted, EventConfigInvalid, EventConfigConflict, EventConfigServiceUnreachable,
		EventPeerExchangeFailed, EventVMListUnreachable, EventProcessRefused,
		EventStoreUnreachable, EventStoreReachable, EventRangeReplaced, EventGatewayUnreachable, EventGatewayReachable,
		EventDomainOutOfService, EventDomainInService, EventStoreRestored, EventHistoryRead, EventHistoryUnread, EventEndpointAdded, EventEndpointRemoved, EventEndpointUnreadable,
		EventOriginCallFailed, EventCachedPartCallFailed, EventReaderDistrusted, EventGossipPaused, EventGossipContinued,
		EventEndpointDown, EventEndpointUp, EventEndpointCold, EventEndpointDraining, EventOutlierDetected, EventOutlierRecovered,
		EventEndpointLimited, EventEndpointUnlimited, EventCacheListUnread,
		EventEndpointSaysLeaving,
		EventRequestSuspected, EventRequestQuarantined, EventSuspectLearned, EventSuspectCleared, EventEndpointBackoff,
		EventResponseMismatch, EventIncompleteResponse, EventRetryBudgetExhausted,
		EventAttemptFailed, EventRequestServed, EventRequestRefused, EventStreamInterrupted, EventStreamResumed, EventCallerDisconnected,
		EventStreamOriginFound, EventServiceFull, EventServiceHasRoom, EventServiceShort, EventServiceShortEnded,
	}
}
