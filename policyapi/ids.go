package policyapi

// Microseconds is a point in time or a duration in whole microseconds. The host chooses the origin of points in time:
// an instance uses only their order and their differences.
type Microseconds int64

// The identifiers are opaque: the module compares and returns them, but derives nothing from their values.
type (
	// InstanceID identifies one running instance of the decision module.
	InstanceID string
	// EndpointID identifies an endpoint. An endpoint that restarts keeps its ID.
	EndpointID string
	// Zone is the name of a failure domain.
	Zone string
	// MachineType is the name of a type of hardware; endpoints of one type are expected to respond equally fast.
	MachineType string
	// ProxyID identifies a proxy (sidecar or gateway).
	ProxyID int
	// TableID identifies a table of weights. Each instance numbers its own tables; AllTables is reserved.
	TableID int
	// PodID identifies a group of endpoints that are likely to fail together.
	PodID int
	// PeerID is an instance's position among its peers, counted from 0.
	PeerID int
	// TimerToken identifies a timer of an instance: TimerFired returns the token of its SetTimer unchanged.
	TimerToken int64
	// AckID identifies the messages of one reply for which an acknowledgement is requested.
	AckID int
	// ListVersion is the version of the endpoint list that an update carries.
	ListVersion int64
	// RequestClass is an index into Start.Classes.
	RequestClass int
)

// AllTables makes a SetAdmission apply to every connected proxy, regardless of the tables that it is bound to.
const AllTables TableID = 65535

// UnknownClass stands for every class that the settings do not contain.
const UnknownClass RequestClass = -1

// ClassSet is a set of request classes: bit k is set if class k is in the set. The empty set means all classes.
type ClassSet uint64
