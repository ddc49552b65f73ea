package proxyproto

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"porthub/policyapi"
	"porthub/resp"
)

// messageTexts are a message's parts as words.
func messageTexts(t interface{ Fatal(...any) }, bytes []byte) (out []string) {
	for len(bytes) > 0 {
		w, n, err := resp.Take(bytes, IncomingLimits)
		if err != nil || n == 0 {
			t.Fatal("not whole messages: ", err)
		}
		out, bytes = append(out, resp.Text(w, 1<<20)), bytes[n:]
	}
	return out
}

func TestPublisherEncodesOrders(t *testing.T) {
	b := NewPublisher(testSettings.Classes)
	for p := range policyapi.ProxyID(2) {
		b.Connect(policyapi.ProxyConnected{Proxy: p})
	}
	every := policyapi.ClassSet(0)
	for _, step := range []struct {
		name   string
		orders []policyapi.Order
		want   map[policyapi.ProxyID]string
	}{
		{"lines nobody uses", []policyapi.Order{policyapi.SetWeight{Table: 1, Endpoint: "s-2", Weight: 0.75}, policyapi.SetWeight{Table: 1, Endpoint: "s-1", Weight: 1.23456789}}, nil},
		{"a bind", []policyapi.Order{policyapi.BindProxy{Proxy: 1, Table: 1}, policyapi.RequestAck{AckID: 4}},
			map[policyapi.ProxyID]string{1: "CONFIG replace 1 rows s-1:1.23457,s-2:0.75 stamp 4"}},
		{"a line", []policyapi.Order{policyapi.SetWeight{Table: 1, Endpoint: "s-2"}, policyapi.RequestAck{AckID: 5}}, map[policyapi.ProxyID]string{1: "CONFIG rows s-2:0 stamp 5"}},
		{"a level for all", []policyapi.Order{policyapi.SetAdmission{Table: policyapi.AllTables, Classes: 2, Level: 1e6, RetryPolicy: 1}},
			map[policyapi.ProxyID]string{0: "CONFIG for save gate 1000000 again 1", 1: "CONFIG for save gate 1000000 again 1"}},
		{"its own beside it", []policyapi.Order{policyapi.SetAdmission{Table: 1, Level: 2.5, RetryPolicy: 0}}, map[policyapi.ProxyID]string{1: "CONFIG gate 2.5 again 0"}},
		{"the lower holds, the table's own way stays", []policyapi.Order{policyapi.SetAdmission{Table: policyapi.AllTables, Classes: 2, Level: 0.5, RetryPolicy: 1}},
			map[policyapi.ProxyID]string{0: "CONFIG for save gate 0.5 again 1", 1: "CONFIG for save gate 0.5 again 0"}},
		{"another table for two kinds", []policyapi.Order{policyapi.SetWeight{Table: 2, Endpoint: "s-1", Weight: 1}, policyapi.BindProxy{Proxy: 1, Table: 2, Classes: 3}, policyapi.RequestAck{AckID: 6}},
			map[policyapi.ProxyID]string{1: "CONFIG for view+save replace 1 rows s-1:1 part 1|CONFIG for save gate 0.5 again 1 stamp 6"}},
		{"a withdrawal", []policyapi.Order{policyapi.EjectEndpoint{Endpoint: "s-1", Ejected: true}}, map[policyapi.ProxyID]string{0: "CONFIG drop s-1", 1: "CONFIG drop s-1"}},
		{"and back", []policyapi.Order{policyapi.EjectEndpoint{Endpoint: "s-1"}, policyapi.RequestAck{AckID: 7}},
			map[policyapi.ProxyID]string{0: "CONFIG undrop s-1 stamp 7", 1: "CONFIG undrop s-1 stamp 7"}},
		{"a mark alone", []policyapi.Order{policyapi.RequestAck{AckID: 8}}, nil},
		{"a mark for all", []policyapi.Order{policyapi.RequestAck{AckID: 9, AllProxies: true}}, map[policyapi.ProxyID]string{0: "CONFIG stamp 9", 1: "CONFIG stamp 9"}},
		{"an empty table", []policyapi.Order{policyapi.ClearTable{Table: 2}}, map[policyapi.ProxyID]string{1: "CONFIG for view+save replace 1 part 1|CONFIG for save gate 0.5 again 1"}},
		{"one that has left", []policyapi.Order{policyapi.BindProxy{Proxy: 7, Table: 1, Classes: every}}, nil},
		{"nothing", []policyapi.Order{policyapi.Log{Text: "x"}}, nil},
	} {
		got := map[policyapi.ProxyID]string{}
		for _, p := range b.Apply(step.orders) {
			got[p.Proxy] = strings.Join(messageTexts(t, p.Bytes), "|")
		}
		if !maps.Equal(got, step.want) {
			t.Errorf("%s: %v, want %v", step.name, got, step.want)
		}
	}
}

// What a proxy shuts out it keeps over a change of streams: what was let back meanwhile is told on the new one.
func TestEjectionsSurviveReconnect(t *testing.T) {
	b := NewPublisher(testSettings.Classes)
	b.Connect(policyapi.ProxyConnected{Proxy: 1})
	b.Apply([]policyapi.Order{policyapi.EjectEndpoint{Endpoint: "s-1", Ejected: true}, policyapi.EjectEndpoint{Endpoint: "s-2", Ejected: true}})
	b.Disconnect(1)
	b.Apply([]policyapi.Order{policyapi.EjectEndpoint{Endpoint: "s-1"}})
	b.Connect(policyapi.ProxyConnected{Proxy: 1})
	got := b.Apply([]policyapi.Order{policyapi.SetWeight{Table: 1, Endpoint: "s-2", Weight: 1}, policyapi.BindProxy{Proxy: 1, Table: 1}})
	if len(got) != 1 || strings.Join(messageTexts(t, got[0].Bytes), "|") != "CONFIG replace 1 rows s-2:1 drop s-2 undrop s-1" {
		t.Errorf("%+v", got)
	}
	b.ForgetEndpoints([]policyapi.EndpointID{"s-2"})
	if len(b.ejected) != 0 || len(b.proxyEjections[1]) != 0 {
		t.Errorf("%v, %v kept", b.ejected, b.proxyEjections)
	}
}

// A table of many lines goes in several parts, each within the protocol's bound.
func TestLargeTableIsSplitIntoParts(t *testing.T) {
	b := NewPublisher(testSettings.Classes)
	b.Connect(policyapi.ProxyConnected{Proxy: 1})
	var orders []policyapi.Order
	for i := range 3*maxRowsPerPart + 1 {
		orders = append(orders, policyapi.SetWeight{Table: 1, Endpoint: policyapi.EndpointID(fmt.Sprintf("s-%090d", i)), Weight: 1})
	}
	got := b.Apply(append(orders, policyapi.BindProxy{Proxy: 1, Table: 1}, policyapi.RequestAck{AckID: 1}))
	parts := messageTexts(t, got[0].Bytes)
	if len(parts) != 4 || !strings.HasSuffix(parts[3], "stamp 1") || !strings.HasSuffix(parts[2], "part 1") || strings.Contains(parts[1], "replace") {
		t.Errorf("%d parts", len(parts))
	}
}

// proxyState is what a proxy does with messages, by the protocol's page.
type proxyState struct {
	weights    []map[string]float64
	admissions []string
	ejected    map[string]bool
}

func (h *proxyState) apply(t *rapid.T, b []byte) (lines int) {
	for _, text := range messageTexts(t, b) {
		w := strings.Split(text, " ")
		f := map[string]string{}
		for i := 1; i < len(w); i += 2 {
			f[w[i]] = w[i+1]
		}
		for k, kind := range testSettings.Classes {
			if f["for"] != "" && !slices.Contains(strings.Split(f["for"], "+"), kind.Name) {
				continue
			}
			if f["replace"] != "" {
				h.weights[k], h.admissions[k] = map[string]float64{}, ""
			}
			for _, r := range strings.FieldsFunc(f["rows"], func(r rune) bool { return r == ',' }) {
				name, weight, _ := strings.Cut(r, ":")
				v, err := strconv.ParseFloat(weight, 64)
				if err != nil || v < 0 {
					t.Fatalf("row %q", r)
				}
				if h.weights[k][name] = v; v == 0 {
					delete(h.weights[k], name)
				}
			}
			if f["gate"] != "" {
				h.admissions[k] = f["gate"] + "/" + f["again"]
			}
		}
		for _, name := range strings.FieldsFunc(f["drop"], func(r rune) bool { return r == ',' }) {
			h.ejected[name] = true
		}
		for _, name := range strings.FieldsFunc(f["undrop"], func(r rune) bool { return r == ',' }) {
			delete(h.ejected, name)
		}
		count := func(v string) int { return len(strings.FieldsFunc(v, func(r rune) bool { return r == ',' })) }
		for _, name := range []string{"rows", "drop", "undrop", "replace", "gate", "stamp"} {
			lines += count(f[name])
		}
	}
	return lines
}

// Over drawn courses of orders and streams, a proxy that has applied all its messages holds what was ordered for it, and no
// message has more lines than the bench's wire counts for it.
func TestStreamsConvergeToOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewPublisher(testSettings.Classes)
		type model struct {
			bound []int  // by kind; -1: none
			told  []bool // by kind: a level for all tables was ordered since the stream stands
			proxyState
		}
		const proxies, tables = 3, 3
		streams := map[policyapi.ProxyID]*model{}
		rows := [tables]map[string]float64{{}, {}, {}}
		levels := [tables + 1]map[int]admission{{}, {}, {}, {}}
		for range rapid.IntRange(1, 30).Draw(t, "turns") {
			p := policyapi.ProxyID(rapid.IntRange(0, proxies-1).Draw(t, "proxy"))
			if rapid.IntRange(0, 3).Draw(t, "stream") == 0 {
				b.Connect(policyapi.ProxyConnected{Proxy: p, HasDefaultTableOnly: true})
				streams[p] = &model{[]int{-1, -1, -1}, make([]bool, 3), proxyState{[]map[string]float64{{}, {}, {}}, []string{"", "", ""}, map[string]bool{}}}
			}
			var orders []policyapi.Order
			cost, bindCost := 1+len(levels[tables]), map[policyapi.ProxyID]int{}
			anew := map[int]bool{}
			for range rapid.IntRange(0, 8).Draw(t, "orders") {
				table := rapid.IntRange(0, tables-1).Draw(t, "table")
				kinds := policyapi.ClassSet(rapid.IntRange(0, 7).Draw(t, "kinds"))
				switch rapid.IntRange(0, 9).Draw(t, "order") {
				case 0:
					orders = append(orders, policyapi.ClearTable{Table: policyapi.TableID(table)})
					rows[table], levels[table], anew[table] = map[string]float64{}, map[int]admission{}, true
					cost++
				case 1, 2:
					orders = append(orders, policyapi.BindProxy{Proxy: p, Table: policyapi.TableID(table), Classes: kinds})
					if m := streams[p]; m != nil {
						for k := range testSettings.Classes {
							if classSetHas(kinds, k) {
								m.bound[k] = table
							}
						}
						bindCost[p] += 1
					}
				case 3:
					all := rapid.IntRange(0, 2).Draw(t, "all")
					g := admission{float64(rapid.IntRange(0, 4).Draw(t, "level")), rapid.IntRange(0, 1).Draw(t, "again")}
					orders = append(orders, policyapi.SetAdmission{Table: policyapi.AllTables, Classes: 1 << all, Level: g.level, RetryPolicy: g.retryPolicy})
					levels[tables][all] = g
					for _, m := range streams {
						m.told[all] = true
					}
					cost++
				case 4:
					g := admission{float64(rapid.IntRange(0, 4).Draw(t, "level")), rapid.IntRange(0, 1).Draw(t, "again")}
					orders = append(orders, policyapi.SetAdmission{Table: policyapi.TableID(table), Classes: kinds, Level: g.level, RetryPolicy: g.retryPolicy})
					for k := range testSettings.Classes {
						if classSetHas(kinds, k) {
							levels[table][k] = g
						}
					}
					cost += 3 // of the kinds that it is for
				default:
					id, weight := "s-"+strconv.Itoa(rapid.IntRange(0, 4).Draw(t, "backend")), float64(rapid.IntRange(0, 9).Draw(t, "weight"))/8
					orders = append(orders, policyapi.SetWeight{Table: policyapi.TableID(table), Endpoint: policyapi.EndpointID(id), Weight: weight})
					if rows[table][id] = weight; weight == 0 {
						delete(rows[table], id)
					}
					cost++
				}
			}
			for _, post := range b.Apply(append(orders, policyapi.RequestAck{AckID: 1})) {
				m := streams[post.Proxy]
				most := cost
				if bindCost[post.Proxy] > 0 || len(anew) > 0 {
					for _, table := range slices.Compact(slices.Sorted(slices.Values(m.bound))) {
						if table >= 0 {
							most += bindCost[post.Proxy] + len(rows[table]) + 3 + len(testSettings.Classes)
						}
					}
				}
				if lines := m.apply(t, post.Bytes); lines != post.Lines || lines > most {
					t.Fatalf("%d lines, said %d, at most %d: %q", lines, post.Lines, most, messageTexts(t, post.Bytes))
				}
			}
			for p, m := range streams {
				for k, table := range m.bound {
					want := ""
					g, has := levels[tables][k]
					has = has && (table >= 0 || m.told[k]) // what stood before goes with the first table
					if table >= 0 {
						if own, is := levels[table][k]; is {
							if has {
								own.level = min(own.level, g.level)
							}
							g, has = own, true
						}
						if !maps.Equal(m.weights[k], rows[table]) {
							t.Fatalf("proxy %d, kind %d holds %v, ordered %v", p, k, m.weights[k], rows[table])
						}
					}
					if has {
						want = fmt.Sprintf("%s/%d", formatNumber(g.level), g.retryPolicy)
					}
					if m.admissions[k] != want && !(want != "" && m.admissions[k] == "" && len(orders) == 0) {
						t.Fatalf("proxy %d, kind %d has level %q, ordered %q", p, k, m.admissions[k], want)
					}
				}
			}
		}
	})
}

// A stream is bound in the turn that changes its table, before or after the change, or leaves that table for another: its message is
// what holds at the end of the turn.
func TestBindAndWeightInOneBatch(t *testing.T) {
	lay := []policyapi.Order{policyapi.SetWeight{Table: 1, Endpoint: "s-1", Weight: 1}, policyapi.SetWeight{Table: 1, Endpoint: "s-2", Weight: 1},
		policyapi.SetWeight{Table: 2, Endpoint: "s-3", Weight: 1}}
	bind := func(table policyapi.TableID) policyapi.Order { return policyapi.BindProxy{Proxy: 1, Table: table} }
	drain := policyapi.SetWeight{Table: 1, Endpoint: "s-1"}
	for name, c := range map[string]struct {
		before, turn []policyapi.Order
		want         string
	}{
		"bound, then lost":             {lay, []policyapi.Order{bind(1), drain}, "CONFIG replace 1 rows s-2:1"},
		"lost, then bound":             {lay, []policyapi.Order{drain, bind(1)}, "CONFIG replace 1 rows s-2:1"},
		"lost, then bound elsewhere":   {append(slices.Clone(lay), bind(1)), []policyapi.Order{drain, bind(2)}, "CONFIG replace 1 rows s-3:1"},
		"bound elsewhere, then lost":   {append(slices.Clone(lay), bind(1)), []policyapi.Order{bind(2), drain}, "CONFIG replace 1 rows s-3:1"},
		"lost, there again, then lost": {append(slices.Clone(lay), bind(1)), []policyapi.Order{drain, lay[0], drain}, "CONFIG rows s-1:0"},
	} {
		b := NewPublisher(testSettings.Classes)
		b.Connect(policyapi.ProxyConnected{Proxy: 1})
		b.Apply(c.before)
		posts := b.Apply(c.turn)
		if len(posts) != 1 || strings.Join(messageTexts(t, posts[0].Bytes), "|") != c.want {
			t.Errorf("%s: %+v", name, posts)
		}
	}
}
