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

// Instance is one instance of a registry. Times are milliseconds since 1970 by the registry's clock; 0: unknown.
type Instance struct {
	App              string
	ID               string
	Host             string
	IP               string
	Port             int
	Status           string // UP, STARTING, OUT_OF_SERVICE, DOWN, UNKNOWN
	OverriddenStatus string // the same; UNKNOWN or empty: not overridden
	Action           string // in deltas: ADDED, MODIFIED, DELETED
	Metadata         map[string]string
	DirtyAt          int64 // last change by the instance
	UpdatedAt        int64
	RegisteredAt     int64
	RenewedAt        int64
	ServiceUpAt      int64
	EvictedAt        int64
	LeaseSeconds     int64
}

// Applications are a snapshot or a delta.
type Applications struct {
	Hash      string // apps__hashcode
	Version   string // versions__delta
	Instances []Instance
}

// ErrInvalidResponse is wrapped by every error about a body that can't be read. Nothing of it is used.
var ErrInvalidResponse = errors.New("no answer of a Eureka registry")

// Parse reads the response to /apps, /apps/delta, /apps/APP or /vips/VIP, in JSON or XML. The error wraps
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

func decode(body []byte) (applications, error) {
	if len(body) == 0 {
		return applications{}, errors.New("it is empty")
	}
	switch body[0] {
	case '<':
		return decodeXML(body)
	case '{':
		return decodeJSON(body)
	default:
		return applications{}, errors.New("neither JSON nor XML")
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
		return applications{}, errors.New("it has neither applications nor application")
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
			return all, fmt.Errorf("<%s> is neither applications nor application", start.Name.Local)
		}
	}
}

// convert returns the instance of an application.
func (i instance) convert(app string) (Instance, error) {
	converted := Instance{
		App:              strings.ToUpper(cmp.Or(app, i.App)),
		ID:               cmp.Or(i.ID, i.Host), // old registries have no ID
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
		return converted, fmt.Errorf("an instance of %s has neither instanceId nor hostName", converted.App)
	}
	return converted, nil
}
