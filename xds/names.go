package xds

import "porthub/routing"

// Type URLs of resources: those of the two documents, and that of a single endpoint in an incremental response.
const (
	EndpointType   = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
	RouteType      = "type.googleapis.com/envoy.config.route.v3.RouteConfiguration"
	LbEndpointType = "type.googleapis.com/envoy.config.endpoint.v3.LbEndpoint"
)

// HTTP paths to which messages are posted. The paths for documents are those of REST xDS. Incremental requests and load
// reports are defined as gRPC methods only, so the paths of these methods are used.
const (
	EndpointPath      = "/v3/discovery:endpoints"
	RoutePath         = "/v3/discovery:routes"
	EndpointDeltaPath = "/envoy.service.endpoint.v3.LocalityEndpointDiscoveryService/DeltaLocalityEndpoints"
	RouteDeltaPath    = "/envoy.service.route.v3.RouteDiscoveryService/DeltaRoutes"
	LoadReportPath    = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats"
)

// WeightScale is the published weight of an endpoint with weight 1. Published weights are integers of at least 1.
const WeightScale = routing.WeightScale

// ClassHeader is the request header that names a request's class.
const ClassHeader = "x-request-kind"

// RouteConfigurationName is the name of the RouteConfiguration in a full document.
const RouteConfigurationName = "request-kinds"

// FallbackMetadata is the metadata key of a route's fallback, which applies while the gateway can't reach a coordinator.
const FallbackMetadata = "porthub.fallback"

// Keys of a node's metadata, and names of load metrics and the drop category in a load report.
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
