package eureka

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// The JSON representation of an instance. The keys are in alphabetical order.
type (
	instanceJSON struct {
		Action         string            `json:"actionType,omitempty"`
		App            string            `json:"app"`
		Host           string            `json:"hostName"`
		ID             string            `json:"instanceId"`
		IP             string            `json:"ipAddr"`
		LastDirty      string            `json:"lastDirtyTimestamp"`
		LastUpdated    string            `json:"lastUpdatedTimestamp"`
		Lease          leaseJSON         `json:"leaseInfo"`
		Metadata       map[string]string `json:"metadata"`
		OverrideStatus string            `json:"overriddenStatus"`
		Port           portJSON          `json:"port"`
		Status         string            `json:"status"`
	}
	leaseJSON struct {
		Duration     int   `json:"durationInSecs"`
		Eviction     int64 `json:"evictionTimestamp"`
		LastRenewal  int64 `json:"lastRenewalTimestamp"`
		Registration int64 `json:"registrationTimestamp"`
		Renewal      int   `json:"renewalIntervalInSecs"`
		ServiceUp    int64 `json:"serviceUpTimestamp"`
	}
	portJSON struct {
		Number  int    `json:"$"`
		Enabled string `json:"@enabled"`
	}
)

// The lease of every instance, in seconds.
const (
	leaseDuration = 90
	leaseRenewal  = 30
)

// unixMilliseconds returns a time in milliseconds since 1970, by the peer's clock. The zero time is 0.
func (f Faults) unixMilliseconds(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.Add(f.ClockSkew).UnixMilli()
}

// encodeInstance returns the JSON of an instance. The action is set only in deltas.
func encodeInstance(f activeFaults, i Instance, action string) string {
	upSince := i.UpSince
	if f.Reregistered {
		upSince = f.since
	}
	lastChange := strconv.FormatInt(f.unixMilliseconds(i.LastChange), 10)
	text, _ := json.Marshal(instanceJSON{
		Action:         action,
		App:            i.App,
		Host:           i.IP,
		ID:             i.ID,
		IP:             i.IP,
		LastDirty:      lastChange,
		LastUpdated:    lastChange,
		Metadata:       i.Metadata,
		OverrideStatus: "UNKNOWN",
		Port:           portJSON{Number: i.Port, Enabled: "true"},
		Status:         i.Status,
		Lease: leaseJSON{
			Duration:     leaseDuration,
			Eviction:     f.unixMilliseconds(i.EvictedAt),
			LastRenewal:  f.unixMilliseconds(i.LastRenewal),
			Registration: f.unixMilliseconds(upSince),
			Renewal:      leaseRenewal,
			ServiceUp:    f.unixMilliseconds(upSince),
		},
	}) // strings and numbers can always be encoded
	return string(text)
}

// encodeApp returns the JSON of an application with its encoded instances.
func encodeApp(name string, instances ...string) string {
	return fmt.Sprintf(`{"name": %q, "instance": [%s]}`, name, strings.Join(instances, ","))
}

// encodeApps returns the JSON of each application, sorted by name.
func encodeApps(f activeFaults, instances []Instance) []string {
	byApp := map[string][]string{}
	for _, i := range instances {
		byApp[i.App] = append(byApp[i.App], encodeInstance(f, i, ""))
	}
	var apps []string
	for _, name := range slices.Sorted(maps.Keys(byApp)) {
		apps = append(apps, encodeApp(name, byApp[name]...))
	}
	return apps
}

// appsHashCode returns Eureka's hash code of the instances, which consists of the number of instances in each status.
func appsHashCode(f activeFaults, instances []Instance) string {
	if f.WrongHash {
		return "UP_99999_"
	}
	counts := map[string]int{}
	for _, i := range instances {
		counts[i.Status]++
	}
	hash := ""
	for _, status := range slices.Sorted(maps.Keys(counts)) {
		hash += fmt.Sprintf("%s_%d_", status, counts[status])
	}
	return hash
}

// respondAll responds with the applications of the instances, in XML if the request accepts it and in JSON otherwise.
func (p *Peer) respondAll(w http.ResponseWriter, r *http.Request, f activeFaults, instances []Instance) {
	if acceptsXML(r) {
		p.respondXML(w, f, instances)
		return
	}
	p.respondApps(w, f, appsHashCode(f, instances), encodeApps(f, instances))
}

// respondApp responds with a single application.
func (p *Peer) respondApp(w http.ResponseWriter, r *http.Request, f activeFaults, instances []Instance) {
	if acceptsXML(r) {
		p.respondXML(w, f, instances)
		return
	}
	p.respondJSON(w, f, fmt.Sprintf(`{"application": %s}`, encodeApps(f, instances)[0]))
}

// respondDelta responds with the recent changes and the hash code of all instances.
func (p *Peer) respondDelta(w http.ResponseWriter, f activeFaults, instances []Instance) {
	var changes []string
	for _, c := range p.registry.recentChanges() {
		if f.StaleDelta && c.at.After(f.since) {
			continue
		}
		changes = append(changes, encodeApp(c.instance.App, encodeInstance(f, c.instance, c.action)))
	}
	p.respondApps(w, f, appsHashCode(f, instances), changes)
}

func acceptsXML(r *http.Request) bool { return strings.Contains(r.Header.Get("Accept"), "xml") }

func (p *Peer) respondApps(w http.ResponseWriter, f activeFaults, hash string, apps []string) {
	p.respondJSON(w, f, fmt.Sprintf(`{"applications": {"versions__delta": "1", "apps__hashcode": %q, "application": [%s]}}`, hash, strings.Join(apps, ",")))
}

func (p *Peer) respondJSON(w http.ResponseWriter, f activeFaults, text string) {
	if f.PaddingBytes > 0 {
		text = text[:len(text)-1] + `, "filling": "` + strings.Repeat("x", int(f.PaddingBytes)) + `"}`
	}
	p.write(w, f, "application/json", text)
}

// respondXML responds with an application element for each instance.
func (p *Peer) respondXML(w http.ResponseWriter, f activeFaults, instances []Instance) {
	var b strings.Builder
	fmt.Fprintf(&b, "<applications><versions__delta>1</versions__delta><apps__hashcode>%s</apps__hashcode>", appsHashCode(f, instances))
	for _, i := range instances {
		writeInstanceXML(&b, i)
	}
	b.WriteString("</applications>")
	p.write(w, f, "application/xml", b.String())
}

func writeInstanceXML(b *strings.Builder, i Instance) {
	fmt.Fprintf(b, "<application><name>%s</name><instance><instanceId>%s</instanceId><hostName>%s</hostName><app>%s</app>", i.App, i.ID, i.IP, i.App)
	fmt.Fprintf(b, `<ipAddr>%s</ipAddr><status>%s</status><port enabled="true">%d</port>`, i.IP, i.Status, i.Port)
	fmt.Fprintf(b, "<leaseInfo><durationInSecs>%d</durationInSecs><lastRenewalTimestamp>%d</lastRenewalTimestamp>", leaseDuration, i.LastRenewal.UnixMilli())
	fmt.Fprintf(b, "<serviceUpTimestamp>%d</serviceUpTimestamp></leaseInfo><metadata>", i.UpSince.UnixMilli())
	for name, value := range i.Metadata {
		fmt.Fprintf(b, "<%s>%s</%s>", name, value, name)
	}
	fmt.Fprintf(b, "</metadata><lastDirtyTimestamp>%d</lastDirtyTimestamp></instance></application>", i.LastChange.UnixMilli())
}

// write sends a response body and counts its bytes.
func (p *Peer) write(w http.ResponseWriter, f activeFaults, contentType, text string) {
	w.Header().Set("Content-Type", contentType)
	if f.Truncated {
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		text = text[:len(text)/2]
	}
	n, _ := io.WriteString(w, text)
	p.mu.Lock()
	p.bytes += int64(n)
	p.mu.Unlock()
	if f.Truncated {
		panic(http.ErrAbortHandler) // the connection ends before the announced length
	}
}
