package eureka

import (
	"bytes"
	"cmp"
	"encoding/json"
	"encoding/xml"
	"errors"
	"fmt"
	"strings"
)

// Instance is one instance of a registry. Times are milliseconds since 1970 by the registry's clock, or 0 if unknown.
type Instance struct {
	App              string
	ID               string
	Host             string
	IP               string
	Port             int
	Status           string // UP, STARTING, OUT_OF_SERVICE, DOWN, UNKNOWN
	OverriddenStatus string // one of the same values; UNKNOWN or empty if the status is not overridden
	Action           string // ADDED, MODIFIED or DELETED; only in deltas
	Metadata         map[string]string
	DirtyAt          int64 // time of the last change by the instance itself
	UpdatedAt        int64
	RegisteredAt     int64
	RenewedAt        int64
	ServiceUpAt      int64
	EvictedAt        int64
	LeaseSeconds     int64
}

// Applications is a snapshot or a delta.
type Applications struct {
	Hash      string // apps__hashcode
	Version   string // versions__delta
	Instances []Instance
}

// ErrInvalidResponse is wrapped by every error about a response body that is invalid. No part of such a body is used.
var ErrInvalidResponse = errors.New("invalid response of the Eureka registry")

// Parse decodes the body of a response to /apps, /apps/delta, /apps/APP or /vips/VIP, in JSON or XML. Its error wraps
// ErrInvalidResponse.
func Parse(body []byte) (Applications, error) {
	decoded, err := decode(bytes.TrimSpace(body))
	if err != nil {
		return Applications{}, fmt.Errorf("%w: %w", ErrInvalidResponse, err)
	}
	result := Applications{Hash: decoded.Hash, Version: string(decoded.Version)}
	for _, application := range decoded.Apps {
		for _, encoded := range application.Instances {
			instance, err := encoded.convert(application.Name)
			if err != nil {
				return Applications{}, fmt.Errorf("%w: %w", ErrInvalidResponse, err)
			}
			result.Instances = append(result.Instances, instance)
		}
	}
	return result, nil
}

// decode decodes a body in JSON or XML, whichever it begins like.
func decode(body []byte) (applications, error) {
	if len(body) == 0 {
		return applications{}, errors.New("the body is empty")
	}
	switch body[0] {
	case '<':
		return decodeXML(body)
	case '{':
		return decodeJSON(body)
	default:
		return applications{}, errors.New("the body is neither JSON nor XML")
	}
}

func decodeJSON(body []byte) (applications, error) {
	var outer struct {
		All *applications `json:"applications"`
		One *application  `json:"application"`
	}
	if err := json.Unmarshal(body, &outer); err != nil {
		return applications{}, err
	}
	switch {
	case outer.All != nil:
		return *outer.All, nil
	case outer.One != nil:
		return applications{Apps: oneOrMany[application]{*outer.One}}, nil
	default:
		return applications{}, errors.New("the JSON object has neither the key applications nor the key application")
	}
}

func decodeXML(body []byte) (all applications, err error) {
	decoder := xml.NewDecoder(bytes.NewReader(body))
	for {
		token, err := decoder.Token()
		if err != nil {
			return all, err
		}
		start, ok := token.(xml.StartElement)
		if !ok {
			continue
		}
		switch start.Name.Local {
		case "applications":
			err := decoder.DecodeElement(&all, &start)
			return all, err
		case "application":
			var one application
			err := decoder.DecodeElement(&one, &start)
			all.Apps = oneOrMany[application]{one}
			return all, err
		default:
			return all, fmt.Errorf("the XML root element is <%s>, want <applications> or <application>", start.Name.Local)
		}
	}
}

// convert converts the encoding of an instance that belongs to the application app.
func (i instance) convert(app string) (Instance, error) {
	converted := Instance{
		App:              strings.ToUpper(cmp.Or(app, i.App)),
		ID:               cmp.Or(i.ID, i.Host), // old registries do not send instanceId
		Host:             i.Host,
		IP:               i.IP,
		Port:             int(i.Port.Number.number()),
		Status:           strings.ToUpper(i.Status),
		OverriddenStatus: strings.ToUpper(cmp.Or(i.Overridden, i.OverriddenLower)),
		Action:           strings.ToUpper(i.Action),
		Metadata:         i.Metadata,
		DirtyAt:          i.Dirty.number(),
		UpdatedAt:        i.Updated.number(),
		RegisteredAt:     i.Lease.Registered.number(),
		RenewedAt:        max(i.Lease.Renewed.number(), i.Lease.RenewedOld.number()),
		ServiceUpAt:      i.Lease.ServiceUp.number(),
		EvictedAt:        i.Lease.Evicted.number(),
		LeaseSeconds:     i.Lease.Duration.number(),
	}
	if converted.ID == "" {
		return converted, fmt.Errorf("an instance of application %s has neither instanceId nor hostName", converted.App)
	}
	return converted, nil
}
