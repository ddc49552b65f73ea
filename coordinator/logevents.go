package coordinator

// Names of log entries. On-call staff search by them, and chaos and expectation count eventServiceLevel: a change needs a
// line in CHANGELOG.md.
const (
	// The decision module's own lines, by their form (policylog.go).
	eventPolicy          = "mode" // of no known form
	eventAdmission       = "levels"
	eventEndpointEjected = "sick"
	eventPanicThreshold  = "passed_over"

	// Endpoint lists and membership.
	eventEndpointList        = "list"
	eventEndpointListFailed  = "list_failed"
	eventEndpointListEmpty   = "list_empty"
	eventEndpointDuplicate   = "list_twice"
	eventEndpointUnknownZone = "list_zone"
	eventMembership          = "membership"
	eventDrained             = "drained"
	eventUndrained           = "undrained"

	// Gateways: connections, documents, acknowledgements.
	eventTooManyGateways    = "too_many_gateways"
	eventGatewayUnknownZone = "bad_zone"
	eventConnectionReplaced = "name_taken_over"
	eventGatewaySilent      = "silent"
	eventAckTimeout         = "no_acknowledgement"
	eventUnknownVersion     = "unknown_version"
	eventChecksumMismatch   = "wrong_checksum"
	eventDocumentRejected   = "refused"
	eventPublishFailed      = "publish_failed"
	eventSlowDisk           = "slow_disk"
	eventInvalidInput       = "bad_input"

	// Load reports.
	eventReportDuplicate   = "report_repeated"
	eventReportInvalid     = "report_bad"
	eventReportImplausible = "report_sudden"
	eventReportsStopped    = "stopped_reporting"

	// Solver, levels of service, pins, recovery.
	eventSolver        = "solver"
	eventServiceLevel  = "service_level"
	eventLevelOverride = "level_word"
	eventPinned        = "pinned"
	eventUnpinned      = "unpinned"
	eventPinOverruled  = "pin_overruled"
	eventStateRestored = "recalled"
)
