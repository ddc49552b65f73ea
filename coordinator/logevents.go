package coordinator

// Event names of log entries; those of the decision module's entries are constants of package policylog. On-call staff search
// for them, and packages chaos and expectation count eventServiceLevel, so a change needs an entry in CHANGELOG.md.
const (
	// Endpoint lists and membership.
	eventEndpointList        = "endpoint_list"
	eventEndpointListFailed  = "endpoint_list_failed"
	eventEndpointListEmpty   = "endpoint_list_empty"
	eventEndpointDuplicate   = "endpoint_duplicate"
	eventEndpointUnknownZone = "endpoint_unknown_zone"
	eventMembership          = "membership"
	eventDrained             = "drained"
	eventUndrained           = "undrained"

	// Gateways: connections, documents, acknowledgements.
	eventTooManyGateways    = "too_many_gateways"
	eventGatewayUnknownZone = "gateway_unknown_zone"
	eventConnectionReplaced = "connection_replaced"
	eventGatewaySilent      = "gateway_silent"
	eventAckTimeout         = "ack_timeout"
	eventUnknownVersion     = "unknown_version"
	eventChecksumMismatch   = "checksum_mismatch"
	eventDocumentRejected   = "document_rejected"
	eventPublishFailed      = "publish_failed"
	eventSlowDisk           = "slow_disk"
	eventInvalidInput       = "invalid_input"

	// Load reports.
	eventReportDuplicate   = "report_duplicate"
	eventReportInvalid     = "report_invalid"
	eventReportImplausible = "report_implausible"
	eventReportsStopped    = "reports_stopped"

	// Solver, levels of service, pins, recovery.
	eventSolver        = "solver"
	eventServiceLevel  = "service_level"
	eventLevelOverride = "level_override"
	eventPinned        = "pinned"
	eventUnpinned      = "unpinned"
	eventPinOverruled  = "pin_overruled"
	eventStateRestored = "state_restored"
)
