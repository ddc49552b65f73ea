package audit

import (
	"maps"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"porthub/routing"
)

// EndpointState is the state of an endpoint according to the endpoint list.
type EndpointState int

// The states of an endpoint.
const (
	Absent EndpointState = iota // not in the list
	Ready
	Draining
)

// ListedEndpoint is an entry of the endpoint list.
type ListedEndpoint struct {
	State     EndpointState
	StartedAt time.Duration // according to the list; negative if the endpoint was started before the run
	Zone      string
}

// Log records observations. All times are relative to the start of the run. A Log is safe for concurrent use.
type Log struct {
	limits Limits

	mu             sync.Mutex // guards the fields below
	requests       []sentRequest
	executions     map[execution]int
	repeated       []execution // executed more than once, in the order of the second execution
	endpoints      map[string]*endpointLog
	gateways       map[string]*gatewayLog
	lists          []endpointList
	coordinator    []interval // periods in which the coordinator was running
	delivery       *hdrhistogram.Histogram
	incompleteDocs int
	completeDocs   int
}

type sentRequest struct {
	at       time.Duration
	gateway  string
	endpoint string
}

// execution identifies an execution that must not be repeated. A gateway's retries have the same client attempt; a client's
// retry has a new one.
type execution struct {
	request       uint64
	clientAttempt int
	class         string
}

type endpointLog struct {
	cores    float64
	starts   []time.Duration // starts after which the endpoint had to warm up
	arrivals []arrival
}

type arrival struct {
	at      time.Duration
	work    float64 // in core seconds
	gateway string
}

type gatewayLog struct {
	connected    []interval
	tables       []appliedTable
	currentTable routing.Snapshot
	acks         []acknowledgement
}

// connection returns the periods in which the gateway was connected to a running coordinator.
func (g *gatewayLog) connection(l *Log, run time.Duration) []interval {
	return overlaps(g.connected, l.coordinator, run)
}

type appliedTable struct {
	at        time.Duration
	written   time.Duration
	version   version
	lines     int            // lines that differ from the previous table
	endpoints map[string]int // number of endpoints that can be sent requests, by class
}

// version is the version of a message: the epoch, which identifies a start of the coordinator, and the number of the message
// within the epoch. The version of a table that does not come from a coordinator has no epoch.
type version struct {
	epoch  string
	number int
}

func parseVersion(text string) version {
	epoch, number, _ := strings.Cut(text, ".")
	n, _ := strconv.Atoi(number) // 0 if the text has no number
	return version{epoch: epoch, number: n}
}

type acknowledgement struct {
	at      time.Duration
	version version
}

type endpointList struct {
	at        time.Duration
	endpoints map[string]ListedEndpoint
}

// NewLog returns an empty log.
func NewLog(limits Limits) *Log {
	const maxDelivery = 60_000_000 // in microseconds
	return &Log{
		limits:     limits,
		executions: map[execution]int{},
		endpoints:  map[string]*endpointLog{},
		gateways:   map[string]*gatewayLog{},
		delivery:   hdrhistogram.New(1, maxDelivery, 3),
	}
}

func (l *Log) endpoint(name string) *endpointLog {
	e := l.endpoints[name]
	if e == nil {
		e = &endpointLog{}
		l.endpoints[name] = e
	}
	return e
}

func (l *Log) gateway(name string) *gatewayLog {
	g := l.gateways[name]
	if g == nil {
		g = &gatewayLog{}
		l.gateways[name] = g
	}
	return g
}

// EndpointStarted records that an endpoint's process started, and whether the endpoint has to warm up.
func (l *Log) EndpointStarted(at time.Duration, endpoint string, cores int, warmsUp bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.endpoint(endpoint)
	e.cores = float64(cores)
	if warmsUp {
		e.starts = append(e.starts, at)
	}
}

// WorkArrived records that a gateway's request arrived at an endpoint, with its work in core seconds.
func (l *Log) WorkArrived(at time.Duration, endpoint, gateway string, work float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.endpoint(endpoint)
	e.arrivals = append(e.arrivals, arrival{at: at, work: work, gateway: gateway})
}

// RequestExecuted records that an endpoint executed a request. The number of the client's attempt distinguishes the client's
// retries from those of the gateway.
func (l *Log) RequestExecuted(class string, request uint64, clientAttempt int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := execution{request: request, clientAttempt: clientAttempt, class: class}
	l.executions[key]++
	if l.executions[key] == 2 {
		l.repeated = append(l.repeated, key)
	}
}

// RequestSent records that a gateway sent a request to an endpoint.
func (l *Log) RequestSent(at time.Duration, gateway, endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, sentRequest{at: at, gateway: gateway, endpoint: endpoint})
}

// GatewayConnected records that a gateway connected to the coordinator or disconnected from it.
func (l *Log) GatewayConnected(at time.Duration, gateway string, connected bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.gateway(gateway)
	g.connected = setState(g.connected, at, connected)
}

// CoordinatorRunning records that the coordinator's process started or ended.
func (l *Log) CoordinatorRunning(at time.Duration, running bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.coordinator = setState(l.coordinator, at, running)
}

// TableApplied records that a gateway uses a table from the time at on. The time written is when the table's file was
// written. The version is empty for a table that does not come from the coordinator.
func (l *Log) TableApplied(at, written time.Duration, gateway, versionText string, snapshot routing.Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.gateway(gateway)
	table := appliedTable{at: at, written: written, version: parseVersion(versionText), endpoints: map[string]int{}}
	before := g.currentTable
	if n := len(g.tables); n == 0 || g.tables[n-1].version.epoch != table.version.epoch {
		before = routing.Snapshot{} // the first message of an epoch contains all lines and removes none
	}
	table.lines = routing.ChangeCost(before, snapshot)
	for _, class := range l.limits.Classes {
		table.endpoints[class.Name] = snapshot.OpenEndpoints(class.Name)
	}
	l.completeDocs++
	g.currentTable = snapshot
	g.tables = append(g.tables, table)
	// Responses to polls have no time of writing. For them, both times are about the same, and no latency is recorded.
	if versionText != "" && at > written+100*time.Microsecond {
		_ = l.delivery.RecordValue(max(1, (at - written).Microseconds()))
	}
}

// IncompleteDocument records that a gateway read a file that is not a complete document.
func (l *Log) IncompleteDocument() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.incompleteDocs++
}

// VersionAcknowledged records that a gateway acknowledged a version.
func (l *Log) VersionAcknowledged(at time.Duration, gateway, versionText string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.gateway(gateway)
	g.acks = append(g.acks, acknowledgement{at: at, version: parseVersion(versionText)})
}

// EndpointList records the endpoint list that is valid from the given time on. The caller must not change the map afterward.
func (l *Log) EndpointList(at time.Duration, endpoints map[string]ListedEndpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lists = append(l.lists, endpointList{at: at, endpoints: endpoints})
}

// listAt returns the list that was valid at a time, or nil if there was none yet.
func (l *Log) listAt(at time.Duration) *endpointList {
	var last *endpointList
	for i := range l.lists {
		if l.lists[i].at <= at {
			last = &l.lists[i]
		}
	}
	return last
}

// allNames returns a new map whose keys are the names in either list.
func allNames(a, b map[string]ListedEndpoint) map[string]ListedEndpoint {
	all := maps.Clone(a)
	if all == nil {
		all = map[string]ListedEndpoint{}
	}
	maps.Copy(all, b)
	return all
}
