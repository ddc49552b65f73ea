package proxyproto

import (
	"maps"
	"slices"

	"porthub/policyapi"
)

// OutboundMessage is a CONFIG message for one proxy's stream.
type OutboundMessage struct {
	Proxy            policyapi.ProxyID
	Bytes            []byte          // all parts, encoded
	Lines            int             // lines as the protocol counts them, without the message's overhead
	HasCompleteTable bool            // the message replaces at least one table
	AckID            policyapi.AckID // ack id on the wire; meaningful if RequestsAck is set
	RequestsAck      bool
}

// messagePart is one part of a message.
type messagePart struct {
	classes   []int // request classes that the part is for; empty if it has only ejections and the ack id
	replace   bool
	rows      []string
	admission *admission
}

// compose builds a proxy's message: complete tables that are new to the stream, the ordered weights of other tables, admission
// levels that differ from those last sent on the stream, ejections and the ack id. The message has no Bytes if there is nothing to
// send.
func (p *Publisher) compose(proxy policyapi.ProxyID, changes *changeSet) OutboundMessage {
	s := p.streams[proxy]
	parts := p.tableParts(proxy, s, changes)
	parts = p.addAdmissions(s, changes, parts)
	eject, restore := p.ejectionChanges(proxy, s)
	encoder := messageEncoder{
		classes: p.classes,
		message: OutboundMessage{Proxy: proxy, AckID: p.acks.toWire(changes.ackID)},
	}
	if len(parts) == 0 && len(eject) == 0 && len(restore) == 0 && !changes.ackFromAll {
		return encoder.message
	}
	encoder.message.RequestsAck = changes.requestsAck
	encoder.encode(parts, eject, restore)
	return encoder.message
}

// tableParts returns a part for each table of the stream that has to be sent. Classes that share a table also share its part, so
// that the channel counts the lines once, unless the complete table has to be sent for some of them only.
func (p *Publisher) tableParts(proxy policyapi.ProxyID, s *stream, changes *changeSet) []messagePart {
	rebound := changes.rebound[proxy]
	if rebound == nil {
		rebound = make([]bool, len(p.classes))
	}
	var parts []messagePart
	done := make([]bool, len(p.classes))
	for class, t := range s.tables {
		if done[class] || t == nil {
			continue
		}
		complete := rebound[class] || changes.cleared[t]
		part := messagePart{replace: complete}
		for other := class; other < len(p.classes); other++ {
			if s.tables[other] != t || (rebound[other] || changes.cleared[t]) != complete {
				continue
			}
			part.classes = append(part.classes, other)
			done[other] = true
			if complete {
				s.sentAdmissions[other] = nil // a proxy discards the levels of a table that is replaced
			}
		}
		part.rows = t.rows(complete, changes.changedWeights[t])
		if complete || len(part.rows) > 0 {
			parts = append(parts, part)
		}
	}
	return parts
}

// rows returns the table's rows, sorted by endpoint: all rows if complete is set, otherwise those of the changed endpoints.
func (t *table) rows(complete bool, changed map[policyapi.EndpointID]bool) (rows []string) {
	if complete {
		for _, id := range slices.Sorted(maps.Keys(t.weights)) {
			rows = append(rows, formatRow(id, t.weights[id]))
		}
		return rows
	}
	for _, id := range slices.Sorted(maps.Keys(changed)) {
		rows = append(rows, formatRow(id, t.weights[id]))
	}
	return rows
}

// addAdmissions adds the levels that have not been sent on the stream. A level is added to a part for the same classes, or to a new
// part if there is none.
func (p *Publisher) addAdmissions(s *stream, changes *changeSet, parts []messagePart) []messagePart {
	for class := range p.classes {
		due := p.dueAdmission(s, changes, class)
		if due == nil {
			continue
		}
		part := messagePart{admission: due}
		for other := class; other < len(p.classes); other++ {
			if o := p.dueAdmission(s, changes, other); o != nil && *o == *due {
				part.classes = append(part.classes, other)
				s.sentAdmissions[other] = o
			}
		}
		sameClasses := func(candidate messagePart) bool {
			return candidate.admission == nil && slices.Equal(candidate.classes, part.classes)
		}
		if i := slices.IndexFunc(parts, sameClasses); i >= 0 {
			parts[i].admission = due
		} else {
			parts = append(parts, part)
		}
	}
	return parts
}

// dueAdmission returns the admission of a class that has to be sent on the stream, or nil if there is none. A level for all
// tables that was set earlier is sent with the stream's first table, and its line is counted with the table's.
func (p *Publisher) dueAdmission(s *stream, changes *changeSet, class int) *admission {
	if s.tables[class] == nil && !changes.globalAdmissionChanged[class] {
		return nil
	}
	effective := p.effectiveAdmission(s, class)
	if effective == nil || s.sentAdmissions[class] != nil && *s.sentAdmissions[class] == *effective {
		return nil
	}
	return effective
}

// effectiveAdmission returns the admission that applies to a class on a stream, or nil if there is none. If there is a level for
// the table and one for all tables, the lower one applies, with the retry policy of the table.
func (p *Publisher) effectiveAdmission(s *stream, class int) *admission {
	effective, has := p.globalAdmission[policyapi.RequestClass(class)]
	if t := s.tables[class]; t != nil {
		if own, isSet := t.admissions[policyapi.RequestClass(class)]; isSet {
			if has {
				own.level = min(own.level, effective.level)
			}
			effective = own
			has = true
		}
	}
	if !has {
		return nil
	}
	return &effective
}

// ejectionChanges returns the endpoints that the proxy must eject and those it must restore. Only endpoints of the proxy's tables
// are ejected; a class without a bound table may use any endpoint. On the platform, replacing a table lifts the ejections by
// other coordinators. All ejections are therefore sent again on a new stream, as the decision module expects when it binds the
// proxy.
func (p *Publisher) ejectionChanges(proxy policyapi.ProxyID, s *stream) (eject, restore []string) {
	for _, id := range slices.Sorted(maps.Keys(p.ejected)) {
		mayUse := func(t *table) bool {
			if t == nil {
				return true
			}
			_, has := t.weights[id]
			return has
		}
		if s.ejected[id] || !slices.ContainsFunc(s.tables, mayUse) {
			continue
		}
		if p.proxyEjections[proxy] == nil {
			p.proxyEjections[proxy] = map[policyapi.EndpointID]bool{}
		}
		p.proxyEjections[proxy][id] = true
		s.ejected[id] = true
		eject = append(eject, string(id))
	}
	for _, id := range slices.Sorted(maps.Keys(p.proxyEjections[proxy])) {
		if !p.ejected[id] {
			delete(p.proxyEjections[proxy], id)
			delete(s.ejected, id)
			restore = append(restore, string(id))
		}
	}
	return eject, restore
}
