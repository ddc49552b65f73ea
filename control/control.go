// Package control is the interface of the decision module: the ids, what it is told (events), what it may order
// (orders) and the settings it is handed at its start. It holds no behaviour. The bench's wire and a later control
// service both speak in these terms.
package control

// Micros is a time or a length of time in whole microseconds.
type Micros int64

// The ids. Each is opaque: the module compares and returns them, and reads nothing out of them.
type (
	Instance string
	Backend  string
	Zone     string
	Machine  string
	Proxy    int
	Table    int
	Pod      int
	Peer     int
	Token    int64
	Mark     int
	Version  int64
	ReqKind  int // position in the settings' list of request kinds
)

// Kinds is a set of request kinds, bit k for kind k; 0 stands for all.
type Kinds uint64

// AllTables stands in Admit for all joined proxies at once.
const AllTables Table = 65535

// Repeat tells whether a req may run again.
type Repeat int

const (
	NonReplayable Repeat = iota // must never run twice
	Uniqued                     // repeats are dropped within a scope and a window
	Replayable                  // may run anywhere again
)

// KindSettings describes one request kind.
type KindSettings struct {
	Name           string
	Repeat         Repeat
	RepeatScope    string // of uniqued kinds: all, zone or cell
	ResponseTarget Micros
	ClientTimeout  Micros
	Payoff         float64
	OnlyZones      []Zone // empty: everywhere
	OwnZone        bool   // only in the proxy's zone
}

// RuleSettings are the figures of the rules.
type RuleSettings struct {
	EmptyFor     Micros
	DrainGrace   Micros
	Cold         Micros
	ColdFrom     float64
	TipMultiple  float64
	Fall         Micros
	SoftRemoval  bool
	AskWithin    Micros
	QueueCap     float64
	MessageCap   int
	MessageSpan  Micros
	ProbeAllowed bool
	PeersAllowed bool
}

// ChannelSettings tell how orders travel.
type ChannelSettings struct {
	LinesPerS    float64
	Envelope     float64
	Transit      Micros
	WorstTransit Micros
	Sockets      int // connections that the smallest backends take today
}

// ReportSettings tell what reports come and how.
type ReportSettings struct {
	Period   Micros
	Intake   float64 // lines a second at most, the oldest first
	InReport bool    // load figures ride on Heard
	Fields   []string
}

// LevelKind tells what an admission level means.
type LevelKind int

const (
	LevelOff LevelKind = iota
	LevelShare
	LevelRate
)

// Event is something an instance is told.
type Event any

// Up starts an instance: it has no tables and no proxies yet.
type Up struct {
	Seed         uint64
	Me           Peer
	Instances    int
	Zone         Zone
	Zones        []Zone
	Kinds        []KindSettings
	Rules        RuleSettings
	Channel      ChannelSettings
	Reports      ReportSettings
	Levels       LevelKind
	Proxies      int
	MustAsk      bool // the list answers only when asked
	EjectAfter   int
	ListedWeight bool // weights in the list mean something
}

// ListHow tells what a List brings.
type ListHow int

const (
	ListChanges ListHow = iota
	ListFull
	ListSaved
	ListFailed
)

// Status of a backend in the list.
type Status int

const (
	Ready Status = iota
	Draining
	Gone
)

// Entry is one backend in the list.
type Entry struct {
	Backend  Backend
	Zone     Zone
	Weight   float64
	Pod      Pod
	Launched Micros // 0: long ago
	Machine  Machine
	Status   Status
}

// Loads are a backend's own figures, by the names of the wire page.
type Loads map[string]float64

type (
	// List is the list's view of the backends.
	List struct {
		Version Version
		How     ListHow
		Entries []Entry
	}
	// Ring is a timer set by Sleep.
	Ring struct{ Token Token }
	// Probed is the finding of a Probe.
	Probed struct {
		Backend Backend
		OK      bool
		Code    string
		Took    Micros
		Loads   Loads
	}
	// Memo is another instance's message.
	Memo struct {
		From Peer
		Body []byte
	}
	// Joined says that a proxy's stream stands.
	Joined struct {
		Proxy  Proxy
		Zone   Zone
		Fresh  bool // it holds only its standing table
		Weight float64
	}
	// Left says that a proxy's stream broke.
	Left struct{ Proxy Proxy }
	// Heard sums what the proxies of a zone met at a backend.
	Heard struct {
		Zone    Zone
		Backend Backend
		Tries   int
		Errored int
		Answer  Micros // mean of the done ones; 0: none
		Period  Micros
		Loads   Loads
	}
	// HeardKind is the part of a Heard that is of one kind. Hosts that can't tell kinds apart, the bench among them,
	// give none.
	HeardKind struct {
		Zone    Zone
		Backend Backend
		Kind    ReqKind
		Tries   int
		Errored int
		Answer  Micros
		Period  Micros
	}
	// Usage sums the reqs of a kind that came to a proxy.
	Usage struct {
		Proxy   Proxy
		Kind    ReqKind
		Reqs    int
		Errored int
		Period  Micros
	}
	// Applied acknowledges a marked message and all before it.
	Applied struct {
		Proxy Proxy
		Mark  Mark
		Took  Micros
	}
	// Heat sums the reqs of a kind that came to a slice. Like Given and Held it belongs to sites with slices.
	Heat struct {
		Table   Table
		Kind    ReqKind
		Reqs    int
		Errored int
		Period  Micros
	}
	// Given says that a slice is in this instance's charge, or no more.
	Given struct {
		On    bool
		Table Table
	}
	// Held is a line of a slice's table as the store has it.
	Held struct {
		Backend Backend
		Table   Table
		Weight  float64
	}
)

// Order is something an instance wants done.
type Order any

type (
	// Log adds a line for staff.
	Log struct{ Text string }
	// Watch asks for the list's changes from now on.
	Watch struct{ On bool }
	// Fetch asks for the whole list once.
	Fetch struct{}
	// Sleep asks for a Ring.
	Sleep struct {
		After Micros
		Token Token
	}
	// Probe examines a backend.
	Probe struct{ Backend Backend }
	// Tell sends a short message to every peer.
	Tell struct{ Body []byte }
	// Line sets one line of a table; weight 0 removes it.
	Line struct {
		Table   Table
		Backend Backend
		Weight  float64
	}
	// Clear removes a table's lines and levels.
	Clear struct{ Table Table }
	// Bind puts a proxy on a table for some kinds.
	Bind struct {
		Proxy Proxy
		Table Table
		Kinds Kinds
	}
	// Withdraw keeps all joined proxies from a backend, whatever tables they hold.
	Withdraw struct {
		Backend Backend
		On      bool
	}
	// Admit sets the level and the second tries of some kinds.
	Admit struct {
		Table     Table
		Kinds     Kinds
		Level     float64
		SecondTry int
	}
	// Marked asks each proxy that this reply reaches to acknowledge.
	Marked struct {
		Mark Mark
		All  bool
	}
)
