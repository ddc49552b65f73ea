package policyapi

// Microseconds is a point in time or a duration in whole microseconds. The origin of points in time is the host's
// choice; an instance only compares and subtracts them.
type Microseconds int64

// Identifiers are opaque: the module compares and returns them, and derives nothing from their values.
type (
	// InstanceID names one running instance of the decision module.
	InstanceID string
	// EndpointID names an endpoint. An endpoint that restarts keeps its ID.
	EndpointID string
	// Zone names a failure domain.
	Zone string
	// MachineType names a type of hardware; endpoints of one type are expected to respond equally fast.
	MachineType string
	// ProxyID names a proxy (sidecar or gateway).
	ProxyID int
	// TableID names a table of weights. Instances number their tables themselves; AllTables is reserved.
	TableID int
	// PodID names a group of endpoints that is likely to fail together.
	PodID int
	// PeerID is an instance's position among its peers, counted from 0.
	PeerID int
	// TimerToken identifies a timer of an instance: TimerFired returns the token of its SetTimer unchanged.
	TimerToken int64
	// AckID names the messages of one reply that are to be acknowledged.
	AckID int
	// ListVersion is the version of the endpoint list that an update carries.
	ListVersion int64
	// RequestClass is a position in Start.Classes.
	RequestClass int
)

// AllTables makes a SetAdmission apply to every connected proxy, whatever table it is bound to.
const AllTables TableID = 65535

// UnknownClass is the class of requests that the settings do not name.
const UnknownClass RequestClass = -1

// ClassSet is a set of request classes: bit k is set if class k is in the set. The empty set means all classes.
type ClassSet uint64
