package file

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"strconv"
	"time"

	"porthub/policyapi"
)

// maxBytes is the maximum size of a file. A list of ten thousand endpoints has about two million bytes.
const maxBytes = 64 << 20

// ErrInvalidList is wrapped by every error about a list that cannot be read or is invalid.
var ErrInvalidList = errors.New("invalid endpoint list")

var errInvalidAddress = errors.New("expected address:port with a port from 1 to 65535")

// group is one element of the list in the file.
type group struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// Load reads a list from a file. Its error wraps ErrInvalidList.
func Load(path string) ([]policyapi.Endpoint, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidList, err)
	}
	defer func() { _ = file.Close() }()
	text, err := io.ReadAll(io.LimitReader(file, maxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidList, err)
	}
	if len(text) > maxBytes {
		return nil, fmt.Errorf("%w: %w", ErrInvalidList, errTooLarge(path))
	}
	return Parse(text)
}

// errTooLarge returns the error for a file larger than maxBytes.
func errTooLarge(path string) error { return fmt.Errorf("%s is larger than %d bytes", path, maxBytes) }

// Parse parses a list. If any endpoint is invalid it returns no endpoints and an error that wraps ErrInvalidList and names
// the group and target.
func Parse(text []byte) ([]policyapi.Endpoint, error) {
	if len(bytes.TrimSpace(text)) == 0 {
		return nil, fmt.Errorf("%w: the file is empty; a list without endpoints is written as []", ErrInvalidList)
	}
	var groups []group
	decoder := json.NewDecoder(bytes.NewReader(text))
	if err := decoder.Decode(&groups); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidList, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("%w: unexpected data follows the list", ErrInvalidList)
	}
	var endpoints []policyapi.Endpoint
	for i, group := range groups {
		for _, target := range group.Targets {
			endpoint, err := parseEndpoint(target, group.Labels)
			if err != nil {
				return nil, fmt.Errorf("%w: group %d, target %q: %w", ErrInvalidList, i, target, err)
			}
			endpoints = append(endpoints, endpoint)
		}
	}
	return endpoints, nil
}

// parseEndpoint returns the endpoint of a target with the labels of its group.
func parseEndpoint(target string, labels map[string]string) (endpoint policyapi.Endpoint, err error) {
	if err := checkAddress(target); err != nil {
		return endpoint, err
	}
	if labels["zone"] == "" {
		return endpoint, errors.New("label zone is missing")
	}
	endpoint.ID = policyapi.EndpointID(target)
	endpoint.Zone = policyapi.Zone(labels["zone"])
	endpoint.MachineType = policyapi.MachineType(labels["machine"])
	endpoint.Weight, err = parseWeight(labels)
	if err != nil {
		return endpoint, err
	}
	endpoint.Pod, err = parsePod(labels)
	if err != nil {
		return endpoint, err
	}
	endpoint.Status, err = parseStatus(labels["status"])
	if err != nil {
		return endpoint, err
	}
	endpoint.StartedAt, err = parseStartTime(labels)
	return endpoint, err
}

// checkAddress returns errInvalidAddress unless a target has a host and a valid port.
func checkAddress(target string) error {
	host, port, err := net.SplitHostPort(target)
	if err != nil || host == "" {
		return errInvalidAddress
	}
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil || number == 0 {
		return errInvalidAddress
	}
	return nil
}

func parseWeight(labels map[string]string) (float64, error) {
	text, ok := labels["weight"]
	if !ok {
		return 1, nil
	}
	weight, err := strconv.ParseFloat(text, 64)
	if err != nil || !(weight > 0) || math.IsInf(weight, 0) { // !(weight > 0) is also true for NaN
		return 0, fmt.Errorf("label weight is %q: it must be a number above 0", text)
	}
	return weight, nil
}

func parsePod(labels map[string]string) (policyapi.PodID, error) {
	text, ok := labels["pod"]
	if !ok {
		return 0, nil
	}
	pod, err := strconv.Atoi(text)
	if err != nil {
		return 0, fmt.Errorf("label pod is %q: it must be a whole number", text)
	}
	return policyapi.PodID(pod), nil
}

func parseStatus(text string) (policyapi.EndpointStatus, error) {
	switch text {
	case "", "ready":
		return policyapi.Ready, nil
	case "draining":
		return policyapi.Draining, nil
	default:
		return policyapi.Ready, fmt.Errorf("label status is %q: it must be ready or draining", text)
	}
}

// parseStartTime returns the start time of an endpoint, or 0 if it is unknown.
func parseStartTime(labels map[string]string) (policyapi.Microseconds, error) {
	text, ok := labels["launched"]
	if !ok {
		return 0, nil
	}
	if microseconds, err := strconv.ParseInt(text, 10, 64); err == nil && microseconds >= 0 {
		return policyapi.Microseconds(microseconds), nil
	}
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return 0, fmt.Errorf("label launched is %q: it must be a time in RFC 3339 or microseconds since 1970", text)
	}
	return policyapi.Microseconds(at.UnixMicro()), nil
}
