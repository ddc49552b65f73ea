package xds

import "porthub/routing"

// The type URLs of the resources: those of the two documents, and of one endpoint in an incremental response.
const (
	EndpointType   = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
	RouteType      = "type.googleapis.com/envoy.config.route.v3.RouteConfiguration"
	LbEndpointType = "type.googleapis.com/envoy.config.endpoint.v3.LbEndpoint"
)

// The paths to which messages are posted. Those for documents are the published ones of REST xDS; load reports and
// incremental requests have only gRPC methods, whose paths are used.
const (
	EndpointPath      = "/v3/discovery:endpoints"
	RoutePath         = "/v3/discovery:routes"
	EndpointDeltaPath = "/envoy.service.endpoint.v3.LocalityEndpointDiscoveryService/DeltaLocalityEndpoints"
	RouteDeltaPath    = "/envoy.service.route.v3.RouteDiscoveryService/DeltaRoutes"
	LoadReportPath    = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats"
)

// WeightScale is the published weight of an endpoint with weight 1: published weights are integers from 1 on.
const WeightScale = routing.WeightScale

// ClassHeader is the request header that names a request's class.
const ClassHeader = "x-request-kind"

// RouteConfigurationName is the name of the RouteConfiguration in a full document.
const RouteConfigurationName = "request-kinds"

// FallbackMetadata is the key of a route's metadata that has the settings which apply while no coordinator is reached.
const FallbackMetadata = "porthub.fallback"

// Keys of a node's metadata, and names of load metrics and drop categories in a report.
const (
	metaInitialTable = "standing_table"
	metaUsualRate    = "usual_reqs_per_s"
	metaReportNumber = "report_number"
	metaChecksum     = "held_checksum"
	metaVersions     = "held_versions"
	metaPolls        = "polls"
	metaMaxWait      = "hold_ms"

	metricLatency  = "answer_ms"
	metricArrived  = "arrived"
	metricFailures = "errored"

	dropCategory = "admission"
)
