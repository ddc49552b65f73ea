// Package eureka reads the node list from a Eureka registry by its REST operations, and can keep an instance of its own
// registered there. Bodies are JSON or XML, as the registry answers. What is made of it is for package membership.
package eureka

import (
	"bytes"
	"encoding/json"
	"encoding/xml"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Instance is one instance as a registry has it. Times are milliseconds since 1970 by the registry's clock.
type Instance struct {
	App        string
	ID         string
	Host       string
	IP         string
	Port       int
	Status     string // UP, STARTING, OUT_OF_SERVICE, DOWN, UNKNOWN
	Overridden string // the same; UNKNOWN or empty: not
	Action     string // in deltas: ADDED, MODIFIED, DELETED
	Metadata   map[string]string
	Dirty      int64 // last change that the instance told
	Updated    int64
	Registered int64
	Renewed    int64
	ServiceUp  int64
	Evicted    int64
	LeaseFor   int64 // seconds
}

// Applications are a whole answer or a delta.
type Applications struct {
	Hash      string // apps__hashcode
	Version   string // versions__delta
	Instances []Instance
}

// ErrBody is an answer that can't be read; nothing of it is taken.
var ErrBody = errors.New("no answer of a Eureka registry")

// text is a value that JSON has as a string or a number, as registries differ.
type text string

func (t *text) UnmarshalJSON(raw []byte) error {
	if len(raw) > 0 && raw[0] == '"' {
		var s string
		err := json.Unmarshal(raw, &s)
		*t = text(s)
		return err
	}
	if string(raw) != "null" {
		*t = text(raw)
	}
	return nil
}

func (t text) number() int64 {
	n, _ := strconv.ParseInt(strings.TrimSpace(string(t)), 10, 64)
	return max(0, n)
}

// many is a list that is an object alone when it has one member.
type many[T any] []T

func (m *many[T]) UnmarshalJSON(raw []byte) error {
	raw = bytes.TrimSpace(raw)
	if len(raw) > 0 && raw[0] == '[' {
		var list []T
		err := json.Unmarshal(raw, &list)
		*m = list
		return err
	}
	if string(raw) == "null" || string(raw) == `""` {
		return nil
	}
	var one T
	err := json.Unmarshal(raw, &one)
	*m = []T{one}
	return err
}

type port struct {
	Number  text `json:"$" xml:",chardata"`
	Enabled text `json:"@enabled" xml:"enabled,attr"`
}

func (p *port) UnmarshalJSON(raw []byte) error {
	type plain port
	if len(raw) > 0 && raw[0] != '{' {
		return json.Unmarshal(raw, &p.Number)
	}
	return json.Unmarshal(raw, (*plain)(p))
}

type lease struct {
	Duration   text `json:"durationInSecs" xml:"durationInSecs"`
	Renewed    text `json:"lastRenewalTimestamp" xml:"lastRenewalTimestamp"`
	RenewedOld text `json:"renewalTimestamp" xml:"renewalTimestamp"`
	Registered text `json:"registrationTimestamp" xml:"registrationTimestamp"`
	Evicted    text `json:"evictionTimestamp" xml:"evictionTimestamp"`
	ServiceUp  text `json:"serviceUpTimestamp" xml:"serviceUpTimestamp"`
}

type metadata map[string]string

func (m *metadata) UnmarshalJSON(raw []byte) error {
	var any map[string]text
	if err := json.Unmarshal(raw, &any); err != nil {
		return err
	}
	*m = metadata{}
	for k, v := range any {
		(*m)[k] = string(v)
	}
	return nil
}

func (m *metadata) UnmarshalXML(d *xml.Decoder, start xml.StartElement) error {
	*m = metadata{}
	for {
		t, err := d.Token()
		if err != nil {
			return err
		}
		switch t := t.(type) {
		case xml.StartElement:
			var v string
			if err := d.DecodeElement(&v, &t); err != nil {
				return err
			}
			(*m)[t.Name.Local] = v
		case xml.EndElement:
			return nil
		}
	}
}

type instance struct {
	ID          string   `json:"instanceId" xml:"instanceId"`
	Host        string   `json:"hostName" xml:"hostName"`
	App         string   `json:"app" xml:"app"`
	IP          string   `json:"ipAddr" xml:"ipAddr"`
	Status      string   `json:"status" xml:"status"`
	Overridden  string   `json:"overriddenStatus" xml:"overriddenStatus"`
	Overridden2 string   `json:"overriddenstatus" xml:"overriddenstatus"`
	Port        port     `json:"port" xml:"port"`
	Lease       lease    `json:"leaseInfo" xml:"leaseInfo"`
	Metadata    metadata `json:"metadata" xml:"metadata"`
	Updated     text     `json:"lastUpdatedTimestamp" xml:"lastUpdatedTimestamp"`
	Dirty       text     `json:"lastDirtyTimestamp" xml:"lastDirtyTimestamp"`
	Action      string   `json:"actionType" xml:"actionType"`
}

type application struct {
	Name      string         `json:"name" xml:"name"`
	Instances many[instance] `json:"instance" xml:"instance"`
}

type applications struct {
	XMLName xml.Name          `json:"-" xml:"applications"`
	Version text              `json:"versions__delta" xml:"versions__delta"`
	Hash    string            `json:"apps__hashcode" xml:"apps__hashcode"`
	Apps    many[application] `json:"application" xml:"application"`
}

// Parse reads an answer to /apps, /apps/delta, /apps/APP or /vips/VIP, JSON or XML.
func Parse(body []byte) (Applications, error) {
	body = bytes.TrimSpace(body)
	var all applications
	switch {
	case len(body) == 0:
		return Applications{}, fmt.Errorf("%w: it is empty", ErrBody)
	case body[0] == '<':
		if err := parseXML(body, &all); err != nil {
			return Applications{}, fmt.Errorf("%w: %v", ErrBody, err)
		}
	case body[0] == '{':
		var outer struct {
			All *applications `json:"applications"`
			One *application  `json:"application"`
		}
		if err := json.Unmarshal(body, &outer); err != nil {
			return Applications{}, fmt.Errorf("%w: %v", ErrBody, err)
		}
		switch {
		case outer.All != nil:
			all = *outer.All
		case outer.One != nil:
			all.Apps = many[application]{*outer.One}
		default:
			return Applications{}, fmt.Errorf("%w: neither applications nor application stand in it", ErrBody)
		}
	default:
		return Applications{}, fmt.Errorf("%w: neither JSON nor XML", ErrBody)
	}
	out := Applications{Hash: all.Hash, Version: string(all.Version)}
	for _, a := range all.Apps {
		for _, i := range a.Instances {
			one, err := i.plain(a.Name)
			if err != nil {
				return Applications{}, err
			}
			out.Instances = append(out.Instances, one)
		}
	}
	return out, nil
}

func parseXML(body []byte, all *applications) error {
	d := xml.NewDecoder(bytes.NewReader(body))
	for {
		t, err := d.Token()
		if err != nil {
			return err
		}
		start, is := t.(xml.StartElement)
		if !is {
			continue
		}
		switch start.Name.Local {
		case "applications":
			return d.DecodeElement(all, &start)
		case "application":
			var one application
			err := d.DecodeElement(&one, &start)
			all.Apps = many[application]{one}
			return err
		default:
			return fmt.Errorf("<%s> is neither applications nor application", start.Name.Local)
		}
	}
}

func (i instance) plain(app string) (Instance, error) {
	one := Instance{App: strings.ToUpper(cmpOr(app, i.App)), ID: i.ID, Host: i.Host, IP: i.IP, Port: int(i.Port.Number.number()), Status: strings.ToUpper(i.Status),
		Overridden: strings.ToUpper(cmpOr(i.Overridden, i.Overridden2)), Action: strings.ToUpper(i.Action), Metadata: i.Metadata, Dirty: i.Dirty.number(),
		Updated: i.Updated.number(), Registered: i.Lease.Registered.number(), Renewed: max(i.Lease.Renewed.number(), i.Lease.RenewedOld.number()),
		ServiceUp: i.Lease.ServiceUp.number(), Evicted: i.Lease.Evicted.number(), LeaseFor: i.Lease.Duration.number()}
	if one.ID == "" {
		one.ID = one.Host // as old registries have it
	}
	if one.ID == "" {
		return one, fmt.Errorf("%w: an instance of %s has neither instanceId nor hostName", ErrBody, one.App)
	}
	return one, nil
}

func cmpOr(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// HashOf is the hash by which deltas are reconciled: each status with its count, in the order of their names.
func HashOf(instances []Instance) string {
	counts := map[string]int{}
	for _, i := range instances {
		counts[i.Status]++
	}
	var b strings.Builder
	for _, s := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(&b, "%s_%d_", s, counts[s])
	}
	return b.String()
}

// Holding is what is known of a registry: the last whole answer with the deltas since.
type Holding struct {
	instances map[string]Instance // by app and id
	gone      map[string]int64    // what has left, with the last stamp that it had
	whole     bool
}

// stamp is when an instance was changed last, as far as the registry says.
func (i Instance) stamp() int64 { return max(i.Dirty, i.Updated, i.Registered, i.ServiceUp) }

func key(i Instance) string { return i.App + "/" + i.ID }

// Whole takes a whole answer.
func (h *Holding) Whole(a Applications) {
	before := h.instances
	h.instances, h.whole = map[string]Instance{}, true
	for _, i := range a.Instances {
		h.instances[key(i)] = i
		delete(h.gone, key(i))
	}
	for k, i := range before {
		if _, still := h.instances[k]; !still {
			h.left(k, i.stamp())
		}
	}
}

// Delta takes a delta. It is false if what comes of it is not what the registry's hash says, or nothing whole is known: the
// whole has to be fetched, and what was known before stays until then.
func (h *Holding) Delta(a Applications) bool {
	if !h.whole {
		return false
	}
	// The hash counts statuses and no more: a delta that stands still may bring back an instance that has left, as it was,
	// while another one has come, and the hash is right. So what is no newer than when it left does not come back.
	next := maps.Clone(h.instances)
	for _, i := range a.Instances {
		if old, has := next[key(i)]; has && old.Dirty > i.Dirty && i.Action != "DELETED" {
			continue // told again: deltas overlap
		}
		if at, left := h.gone[key(i)]; left && i.stamp() <= at {
			continue
		}
		if i.Action == "DELETED" {
			delete(next, key(i))
		} else {
			i.Action = ""
			next[key(i)] = i
		}
	}
	if HashOf(slices.Collect(maps.Values(next))) != a.Hash {
		h.whole = false
		return false
	}
	for k, i := range h.instances {
		if _, still := next[k]; !still {
			h.left(k, i.stamp())
		}
	}
	for k := range next {
		delete(h.gone, k)
	}
	h.instances = next
	return true
}

// goneMost bounds what is kept of instances that have left.
const goneMost = 20000

func (h *Holding) left(k string, stamp int64) {
	if h.gone == nil || len(h.gone) >= goneMost {
		h.gone = map[string]int64{}
	}
	h.gone[k] = stamp
}

// Instances lists what is known, in the order of apps and ids.
func (h *Holding) Instances() (out []Instance) {
	for _, k := range slices.Sorted(maps.Keys(h.instances)) {
		out = append(out, h.instances[k])
	}
	return out
}
