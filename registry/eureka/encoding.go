package eureka

import (
	"bytes"
	"encoding/json"
	"encoding/xml"
	"strconv"
	"strings"
)

// text is a value that registries write as a string or as a number.
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

// number returns the value; 0 if it is negative or no number.
func (t text) number() int64 {
	n, _ := strconv.ParseInt(strings.TrimSpace(string(t)), 10, 64)
	return max(0, n)
}

// oneOrMany is a list that registries write as a single object when it has one member.
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

// port is written as an object or as a number.
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

// lease is leaseInfo. Registries write the renewal time under either of two names.
type lease struct {
	Duration   text `json:"durationInSecs" xml:"durationInSecs"`
	Renewed    text `json:"lastRenewalTimestamp" xml:"lastRenewalTimestamp"`
	RenewedOld text `json:"renewalTimestamp" xml:"renewalTimestamp"`
	Registered text `json:"registrationTimestamp" xml:"registrationTimestamp"`
	Evicted    text `json:"evictionTimestamp" xml:"evictionTimestamp"`
	ServiceUp  text `json:"serviceUpTimestamp" xml:"serviceUpTimestamp"`
}

// metadata has arbitrary keys; in XML each is an element.
type metadata map[string]string

func (m *metadata) UnmarshalJSON(raw []byte) error {
	var values map[string]text
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

// instance is an instance as it is encoded.
type instance struct {
	ID              string   `json:"instanceId" xml:"instanceId"`
	Host            string   `json:"hostName" xml:"hostName"`
	App             string   `json:"app" xml:"app"`
	IP              string   `json:"ipAddr" xml:"ipAddr"`
	Status          string   `json:"status" xml:"status"`
	Overridden      string   `json:"overriddenStatus" xml:"overriddenStatus"`
	OverriddenLower string   `json:"overriddenstatus" xml:"overriddenstatus"`
	Port            port     `json:"port" xml:"port"`
	Lease           lease    `json:"leaseInfo" xml:"leaseInfo"`
	Metadata        metadata `json:"metadata" xml:"metadata"`
	Updated         text     `json:"lastUpdatedTimestamp" xml:"lastUpdatedTimestamp"`
	Dirty           text     `json:"lastDirtyTimestamp" xml:"lastDirtyTimestamp"`
	Action          string   `json:"actionType" xml:"actionType"`
}

type application struct {
	Name      string              `json:"name" xml:"name"`
	Instances oneOrMany[instance] `json:"instance" xml:"instance"`
}

type applications struct {
	XMLName xml.Name               `json:"-" xml:"applications"`
	Version text                   `json:"versions__delta" xml:"versions__delta"`
	Hash    string                 `json:"apps__hashcode" xml:"apps__hashcode"`
	Apps    oneOrMany[application] `json:"application" xml:"application"`
}
