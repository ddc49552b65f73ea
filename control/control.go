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
	Name           string  `cbor:"Name" json:"Name"`
	Repeat         Repeat  `cbor:"Repeat" json:"Repeat"`
	RepeatScope    string  `cbor:"RepeatScope" json:"RepeatScope"` // of uniqued kinds: all, zone or cell
	ResponseTarget Micros  `cbor:"ResponseTarget" json:"ResponseTarget"`
	ClientTimeout  Micros  `cbor:"ClientTimeout" json:"ClientTimeout"`
	Payoff         float64 `cbor:"Payoff" json:"Payoff"`
	OnlyZones      []Zone  `cbor:"OnlyZones" json:"OnlyZones"` // empty: everywhere
	OwnZone        bool    `cbor:"OwnZone" json:"OwnZone"`     // only in the proxy's zone
}

// RuleSettings are the figures of the rules.
type RuleSettings struct {
	EmptyFor     Micros  `cbor:"EmptyFor" json:"EmptyFor"`
	DrainGrace   Micros  `cbor:"DrainGrace" json:"DrainGrace"`
	Cold         Micros  `cbor:"Cold" json:"Cold"`
	ColdFrom     float64 `cbor:"ColdFrom" json:"ColdFrom"`
	TipMultiple  float64 `cbor:"TipMultiple" json:"TipMultiple"`
	Fall         Micros  `cbor:"Fall" json:"Fall"`
	SoftRemoval  bool    `cbor:"SoftRemoval" json:"SoftRemoval"`
	AskWithin    Micros  `cbor:"AskWithin" json:"AskWithin"`
	QueueCap     float64 `cbor:"QueueCap" json:"QueueCap"`
	MessageCap   int     `cbor:"MessageCap" json:"MessageCap"`
	MessageSpan  Micros  `cbor:"MessageSpan" json:"MessageSpan"`
	ProbeAllowed bool    `cbor:"ProbeAllowed" json:"ProbeAllowed"`
	PeersAllowed bool    `cbor:"PeersAllowed" json:"PeersAllowed"`
}

// ChannelSettings tell how orders travel.
type ChannelSettings struct {
	LinesPerS    float64 `cbor:"LinesPerS" json:"LinesPerS"`
	Envelope     float64 `cbor:"Envelope" json:"Envelope"`
	Transit      Micros  `cbor:"Transit" json:"Transit"`
	WorstTransit Micros  `cbor:"WorstTransit" json:"WorstTransit"`
	Sockets      int     `cbor:"Sockets" json:"Sockets"` // connections that the smallest backends take today
}

// ReportSettings tell what reports come and how.
type ReportSettings struct {
	Period   Micros   `cbor:"Period" json:"Period"`
	Intake   float64  `cbor:"Intake" json:"Intake"`     // lines a second at most, the oldest first
	InReport bool     `cbor:"InReport" json:"InReport"` // load figures ride on Heard
	Fields   []string `cbor:"Fields" json:"Fields"`
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
	Seed         uint64          `cbor:"Seed" json:"Seed"`
	Me           Peer            `cbor:"Me" json:"Me"`
	Instances    int             `cbor:"Instances" json:"Instances"`
	Zone         Zone            `cbor:"Zone" json:"Zone"`
	Zones        []Zone          `cbor:"Zones" json:"Zones"`
	Kinds        []KindSettings  `cbor:"Kinds" json:"Kinds"`
	Rules        RuleSettings    `cbor:"Rules" json:"Rules"`
	Channel      ChannelSettings `cbor:"Channel" json:"Channel"`
	Reports      ReportSettings  `cbor:"Reports" json:"Reports"`
	Levels       LevelKind       `cbor:"Levels" json:"Levels"`
	Proxies      int             `cbor:"Proxies" json:"Proxies"`
	MustAsk      bool            `cbor:"MustAsk" json:"MustAsk"` // the list answers only when asked
	EjectAfter   int             `cbor:"EjectAfter" json:"EjectAfter"`
	ListedWeight bool            `cbor:"ListedWeight" json:"ListedWeight"` // weights in the list mean something
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
	Backend  Backend `cbor:"Backend" json:"Backend"`
	Zone     Zone    `cbor:"Zone" json:"Zone"`
	Weight   float64 `cbor:"Weight" json:"Weight"`
	Pod      Pod     `cbor:"Pod" json:"Pod"`
	Launched Micros  `cbor:"Launched" json:"Launched"` // 0: long ago
	Machine  Machine `cbor:"Machine" json:"Machine"`
	Status   Status  `cbor:"Status" json:"Status"`
}

// Loads are a backend's own figures, by the names of the wire page.
type Loads map[string]float64

type (
	// List is the list's view of the backends.
	List struct {
		Version Version `cbor:"Version" json:"Version"`
		How     ListHow `cbor:"How" json:"How"`
		Entries []Entry `cbor:"Entries" json:"Entries"`
	}
	// Ring is a timer set by Sleep.
	Ring struct {
		Token Token `cbor:"Token" json:"Token"`
	}
	// Probed is the finding of a Probe.
	Probed struct {
		Backend Backend `cbor:"Backend" json:"Backend"`
		OK      bool    `cbor:"OK" json:"OK"`
		Code    string  `cbor:"Code" json:"Code"`
		Took    Micros  `cbor:"Took" json:"Took"`
		Loads   Loads   `cbor:"Loads" json:"Loads"`
	}
	// Memo is another instance's message.
	Memo struct {
		From Peer   `cbor:"From" json:"From"`
		Body []byte `cbor:"Body" json:"Body"`
	}
	// Joined says that a proxy's stream stands.
	Joined struct {
		Proxy  Proxy   `cbor:"Proxy" json:"Proxy"`
		Zone   Zone    `cbor:"Zone" json:"Zone"`
		Fresh  bool    `cbor:"Fresh" json:"Fresh"` // it holds only its standing table
		Weight float64 `cbor:"Weight" json:"Weight"`
	}
	// Left says that a proxy's stream broke.
	Left struct {
		Proxy Proxy `cbor:"Proxy" json:"Proxy"`
	}
	// Heard sums what the proxies of a zone met at a backend.
	Heard struct {
		Zone    Zone    `cbor:"Zone" json:"Zone"`
		Backend Backend `cbor:"Backend" json:"Backend"`
		Tries   int     `cbor:"Tries" json:"Tries"`
		Errored int     `cbor:"Errored" json:"Errored"`
		Answer  Micros  `cbor:"Answer" json:"Answer"` // mean of the done ones; 0: none
		Period  Micros  `cbor:"Period" json:"Period"`
		Loads   Loads   `cbor:"Loads" json:"Loads"`
	}
	// HeardKind is the part of a Heard that is of one kind. Hosts that can't tell kinds apart, the bench among them,
	// give none.
	HeardKind struct {
		Zone    Zone    `cbor:"Zone" json:"Zone"`
		Backend Backend `cbor:"Backend" json:"Backend"`
		Kind    ReqKind `cbor:"Kind" json:"Kind"`
		Tries   int     `cbor:"Tries" json:"Tries"`
		Errored int     `cbor:"Errored" json:"Errored"`
		Answer  Micros  `cbor:"Answer" json:"Answer"`
		Period  Micros  `cbor:"Period" json:"Period"`
	}
	// Usage sums the reqs of a kind that came to a proxy.
	Usage struct {
		Proxy   Proxy   `cbor:"Proxy" json:"Proxy"`
		Kind    ReqKind `cbor:"Kind" json:"Kind"`
		Reqs    int     `cbor:"Reqs" json:"Reqs"`
		Errored int     `cbor:"Errored" json:"Errored"`
		Period  Micros  `cbor:"Period" json:"Period"`
	}
	// Applied acknowledges a marked message and all before it.
	Applied struct {
		Proxy Proxy  `cbor:"Proxy" json:"Proxy"`
		Mark  Mark   `cbor:"Mark" json:"Mark"`
		Took  Micros `cbor:"Took" json:"Took"`
	}
	// Heat sums the reqs of a kind that came to a slice. Like Given and Held it belongs to sites with slices.
	Heat struct {
		Table   Table   `cbor:"Table" json:"Table"`
		Kind    ReqKind `cbor:"Kind" json:"Kind"`
		Reqs    int     `cbor:"Reqs" json:"Reqs"`
		Errored int     `cbor:"Errored" json:"Errored"`
		Period  Micros  `cbor:"Period" json:"Period"`
	}
	// Given says that a slice is in this instance's charge, or no more.
	Given struct {
		On    bool  `cbor:"On" json:"On"`
		Table Table `cbor:"Table" json:"Table"`
	}
	// Held is a line of a slice's table as the store has it.
	Held struct {
		Backend Backend `cbor:"Backend" json:"Backend"`
		Table   Table   `cbor:"Table" json:"Table"`
		Weight  float64 `cbor:"Weight" json:"Weight"`
	}
)

// Order is something an instance wants done.
type Order any

type (
	// Log adds a line for staff.
	Log struct {
		Text string `cbor:"Text" json:"Text"`
	}
	// Watch asks for the list's changes from now on.
	Watch struct {
		On bool `cbor:"On" json:"On"`
	}
	// Fetch asks for the whole list once.
	Fetch struct{}
	// Sleep asks for a Ring.
	Sleep struct {
		After Micros `cbor:"After" json:"After"`
		Token Token  `cbor:"Token" json:"Token"`
	}
	// Probe examines a backend.
	Probe struct {
		Backend Backend `cbor:"Backend" json:"Backend"`
	}
	// Tell sends a short message to every peer.
	Tell struct {
		Body []byte `cbor:"Body" json:"Body"`
	}
	// Line sets one line of a table; weight 0 removes it.
	Line struct {
		Table   Table   `cbor:"Table" json:"Table"`
		Backend Backend `cbor:"Backend" json:"Backend"`
		Weight  float64 `cbor:"Weight" json:"Weight"`
	}
	// Clear removes a table's lines and levels.
	Clear struct {
		Table Table `cbor:"Table" json:"Table"`
	}
	// Bind puts a proxy on a table for some kinds.
	Bind struct {
		Proxy Proxy `cbor:"Proxy" json:"Proxy"`
		Table Table `cbor:"Table" json:"Table"`
		Kinds Kinds `cbor:"Kinds" json:"Kinds"`
	}
	// Withdraw keeps all joined proxies from a backend, whatever tables they hold.
	Withdraw struct {
		Backend Backend `cbor:"Backend" json:"Backend"`
		On      bool    `cbor:"On" json:"On"`
	}
	// Admit sets the level and the second tries of some kinds.
	Admit struct {
		Table     Table   `cbor:"Table" json:"Table"`
		Kinds     Kinds   `cbor:"Kinds" json:"Kinds"`
		Level     float64 `cbor:"Level" json:"Level"`
		SecondTry int     `cbor:"SecondTry" json:"SecondTry"`
	}
	// Marked asks each proxy that this reply reaches to acknowledge.
	Marked struct {
		Mark Mark `cbor:"Mark" json:"Mark"`
		All  bool `cbor:"All" json:"All"`
	}
)
