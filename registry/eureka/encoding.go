package eureka

import (
	"bytes"
	"encoding/json"
	"encoding/xml"
	"strconv"
	"strings"
)

// stringOrNumber is a value that registries write as a string or as a number.
type stringOrNumber string

func (t *stringOrNumber) UnmarshalJSON(raw []byte) error {
	if len(raw) > 0 && raw[0] == '"' {
		var s string
		err := json.Unmarshal(raw, &s)
		*t = stringOrNumber(s)
		return err
	}
	if string(raw) != "null" {
		*t = stringOrNumber(raw)
	}
	return nil
}

// number returns the value as an integer. It returns 0 for a negative value or text that is not an integer, and the largest
// int64 for a larger value.
func (t stringOrNumber) number() int64 {
	n, _ := strconv.ParseInt(strings.TrimSpace(string(t)), 10, 64)
	return max(0, n)
}

// oneOrMany is a list that registries write as a single object if it has one element.
type oneOrMany[T any] []T

func (m *oneOrMany[T]) UnmarshalJSON(raw []byte) error {
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

// port is a port that registries write as an object or as a number.
type port struct {
	Number  stringOrNumber `json:"$" xml:",chardata"`
	Enabled stringOrNumber `json:"@enabled" xml:"enabled,attr"`
}

func (p *port) UnmarshalJSON(raw []byte) error {
	type plain port
	if len(raw) > 0 && raw[0] != '{' {
		return json.Unmarshal(raw, &p.Number)
	}
	return json.Unmarshal(raw, (*plain)(p))
}

// lease is the encoding of leaseInfo. Registries write the renewal time under either of two names.
type lease struct {
	Duration   stringOrNumber `json:"durationInSecs" xml:"durationInSecs"`
	Renewed    stringOrNumber `json:"lastRenewalTimestamp" xml:"lastRenewalTimestamp"`
	RenewedOld stringOrNumber `json:"renewalTimestamp" xml:"renewalTimestamp"`
	Registered stringOrNumber `json:"registrationTimestamp" xml:"registrationTimestamp"`
	Evicted    stringOrNumber `json:"evictionTimestamp" xml:"evictionTimestamp"`
	ServiceUp  stringOrNumber `json:"serviceUpTimestamp" xml:"serviceUpTimestamp"`
}

// metadata is a map with arbitrary keys. In XML each entry is an element.
type metadata map[string]string

func (m *metadata) UnmarshalJSON(raw []byte) error {
	var values map[string]stringOrNumber
	if err := json.Unmarshal(raw, &values); err != nil {
		return err
	}
	*m = metadata{}
	for key, value := range values {
		(*m)[key] = string(value)
	}
	return nil
}

func (m *metadata) UnmarshalXML(d *xml.Decoder, _ xml.StartElement) error {
	*m = metadata{}
	for {
		token, err := d.Token()
		if err != nil {
			return err
		}
		switch token := token.(type) {
		case xml.StartElement:
			var value string
			if err := d.DecodeElement(&value, &token); err != nil {
				return err
			}
			(*m)[token.Name.Local] = value
		case xml.EndElement:
			return nil
		}
	}
}

// instance is the encoding of an instance in JSON and XML.
type instance struct {
	ID              string         `json:"instanceId" xml:"instanceId"`
	Host            string         `json:"hostName" xml:"hostName"`
	App             string         `json:"app" xml:"app"`
	IP              string         `json:"ipAddr" xml:"ipAddr"`
	Status          string         `json:"status" xml:"status"`
	Overridden      string         `json:"overriddenStatus" xml:"overriddenStatus"`
	OverriddenLower string         `json:"overriddenstatus" xml:"overriddenstatus"`
	Port            port           `json:"port" xml:"port"`
	Lease           lease          `json:"leaseInfo" xml:"leaseInfo"`
	Metadata        metadata       `json:"metadata" xml:"metadata"`
	Updated         stringOrNumber `json:"lastUpdatedTimestamp" xml:"lastUpdatedTimestamp"`
	Dirty           stringOrNumber `json:"lastDirtyTimestamp" xml:"lastDirtyTimestamp"`
	Action          string         `json:"actionType" xml:"actionType"`
}

// application is the encoding of an application with its instances.
type application struct {
	Name      string              `json:"name" xml:"name"`
	Instances oneOrMany[instance] `json:"instance" xml:"instance"`
}

// applications is the encoding of a snapshot or a delta.
type applications struct {
	XMLName xml.Name               `json:"-" xml:"applications"`
	Version stringOrNumber         `json:"versions__delta" xml:"versions__delta"`
	Hash    string                 `json:"apps__hashcode" xml:"apps__hashcode"`
	Apps    oneOrMany[application] `json:"application" xml:"application"`
}
