package xds

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	statusv3 "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/protobuf/types/known/structpb"

	"porthub/routing"
)

// Bounds on the fields of a node that a gateway sends.
const (
	maxNodeName     = 200       // bytes; the name is also used as a directory name
	maxReportNumber = 1 << 53   // JSON numbers are float64, which represents smaller integers exactly
	maxWaitLimit    = 600_000.0 // ms
	maxUsualRate    = 1e7       // requests per second
)

// Node identifies a gateway and describes its state in the messages that it sends.
type Node struct {
	Name         string
	Zone         string
	InitialTable bool    // the gateway has only its initial table
	UsualRate    float64 // usual number of requests per second; 0 if unknown
	ReportNumber uint64  // number of the load report in the message, counted from 1; 0 if there is none
	Checksum     uint64  // routing.Checksum of the applied tables; 0 if not given
	// Versions are the versions of the endpoints and routes that Checksum covers; empty if not given.
	Versions [routing.DocumentCount]string
	Polls    bool          // the gateway polls for its tables; otherwise it reads files
	MaxWait  time.Duration // maximum time that a poll waits for a change; 0 requests a response at once
}

func (n Node) message() *corev3.Node {
	fields := map[string]any{
		metaInitialTable: n.InitialTable,
		metaUsualRate:    n.UsualRate,
		metaReportNumber: float64(n.ReportNumber),
	}
	if n.Polls {
		fields[metaPolls] = true
	}
	if n.MaxWait > 0 {
		fields[metaMaxWait] = float64(n.MaxWait.Milliseconds())
	}
	if n.Checksum != 0 {
		fields[metaChecksum] = strconv.FormatUint(n.Checksum, 16)
		if n.Versions != ([routing.DocumentCount]string{}) {
			fields[metaVersions] = []any{n.Versions[0], n.Versions[1]}
		}
	}
	metadata, _ := structpb.NewStruct(fields) // fails only for value types that are not used here
	return &corev3.Node{
		Id:            n.Name,
		Cluster:       "gateways",
		Locality:      &corev3.Locality{Zone: n.Zone},
		Metadata:      metadata,
		UserAgentName: "porthub",
	}
}

// ParseNode converts a message to a node. The error wraps ErrInvalidMessage and names the invalid field.
func ParseNode(message *corev3.Node) (Node, error) {
	if err := checkName(message.GetId()); err != nil {
		return Node{}, err
	}
	metadata := message.GetMetadata().GetFields()
	node := Node{
		Name:         message.Id,
		Zone:         message.GetLocality().GetZone(),
		InitialTable: metadata[metaInitialTable].GetBoolValue(),
		UsualRate:    metadata[metaUsualRate].GetNumberValue(),
		Polls:        metadata[metaPolls].GetBoolValue(),
	}
	if number := metadata[metaReportNumber].GetNumberValue(); number > 0 && number < maxReportNumber {
		node.ReportNumber = uint64(number)
	}
	var err error
	node.MaxWait, err = parseMaxWait(metadata[metaMaxWait].GetNumberValue())
	if err != nil {
		return Node{}, err
	}
	node.Checksum, node.Versions, err = parseChecksum(metadata)
	if err != nil {
		return Node{}, err
	}
	if math.IsNaN(node.UsualRate) || node.UsualRate < 0 || node.UsualRate > maxUsualRate {
		return Node{}, fmt.Errorf("%w: node.metadata.%s is %v: it must be 0 to 10000000",
			ErrInvalidMessage, metaUsualRate, node.UsualRate)
	}
	return node, nil
}

func checkName(name string) error {
	if name == "" || len(name) > maxNodeName {
		return fmt.Errorf("%w: node.id is missing or longer than 200 bytes", ErrInvalidMessage)
	}
	if strings.ContainsFunc(name, func(r rune) bool { return !isNameRune(r) }) {
		return fmt.Errorf("%w: node.id %q: only letters, digits, '-', '_' and '.' are allowed", ErrInvalidMessage, name)
	}
	if name[0] == '.' {
		return fmt.Errorf("%w: node.id %q begins with a dot", ErrInvalidMessage, name)
	}
	return nil
}

// isNameRune reports whether a rune is safe in a directory name.
func isNameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	default:
		return r == '-' || r == '_' || r == '.'
	}
}

func parseMaxWait(ms float64) (time.Duration, error) {
	if ms == 0 {
		return 0, nil
	}
	if ms > 0 && ms <= maxWaitLimit {
		return time.Duration(ms) * time.Millisecond, nil
	}
	return 0, fmt.Errorf("%w: node.metadata.%s is %v: it must be 0 to 600000", ErrInvalidMessage, metaMaxWait, ms)
}

// parseChecksum returns the checksum and the versions that it covers, which are zero if they are missing. Versions without
// a checksum are ignored.
func parseChecksum(metadata map[string]*structpb.Value) (checksum uint64, versions [routing.DocumentCount]string, err error) {
	text := metadata[metaChecksum].GetStringValue()
	if text == "" {
		return 0, versions, nil
	}
	checksum, err = strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, versions, fmt.Errorf("%w: node.metadata.%s is %q: it must be a hexadecimal number of at most 64 bits",
			ErrInvalidMessage, metaChecksum, text)
	}
	values := metadata[metaVersions].GetListValue().GetValues()
	if len(values) == 0 {
		return checksum, versions, nil
	}
	if len(values) != routing.DocumentCount {
		return 0, versions, fmt.Errorf("%w: node.metadata.%s has %d versions: it must have two, those of endpoints and routes",
			ErrInvalidMessage, metaVersions, len(values))
	}
	for document, value := range values {
		versions[document] = value.GetStringValue()
	}
	return checksum, versions, nil
}

// invalidArgument is the code INVALID_ARGUMENT of google.rpc.Code.
const invalidArgument = 3

// NewAcknowledgement returns the request that acknowledges the version of a document that a gateway has applied. If
// rejection is not empty, the request is a negative acknowledgement: rejection is the reason why the document with the
// nonce could not be applied.
func NewAcknowledgement(node Node, typeURL, version, nonce, rejection string) *discoveryv3.DiscoveryRequest {
	request := &discoveryv3.DiscoveryRequest{
		Node:          node.message(),
		TypeUrl:       typeURL,
		VersionInfo:   version,
		ResponseNonce: nonce,
	}
	if rejection != "" {
		request.ErrorDetail = &statusv3.Status{Code: invalidArgument, Message: rejection}
	}
	return request
}
