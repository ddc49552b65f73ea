package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// decoder fills a struct from a syntax tree, so that each finding has its line.
type decoder struct {
	file  string
	text  []byte
	found []Finding
	lines map[string]int // by key: where it stands
}

func (d *decoder) finding(line int, key, wrong, right string) {
	d.found = append(d.found, Finding{File: d.file, Line: line, Key: key, Problem: wrong, Remedy: right})
}

// line of an offset, from 1.
func (d *decoder) line(offset int) int {
	return 1 + bytes.Count(d.text[:min(offset, len(d.text))], []byte("\n"))
}

// lineOf finds the line of a key, or of the nearest key above it.
func (d *decoder) lineOf(key string) int {
	for key != "" {
		if line, has := d.lines[key]; has {
			return line
		}
		key = key[:max(0, strings.LastIndexAny(key, ".["))]
	}
	return 1
}

var hujsonAt = regexp.MustCompile(`line (\d+), column (\d+)`)

func (d *decoder) document(into any) {
	tree, err := hujson.Parse(d.text)
	if err != nil {
		line := 1
		if m := hujsonAt.FindStringSubmatch(err.Error()); m != nil {
			line, _ = strconv.Atoi(m[1])
		}
		d.finding(line, "-", err.Error(), "the file must be JSON, comments and trailing commas allowed")
		return
	}
	if _, is := tree.Value.(*hujson.Object); !is {
		d.finding(1, "-", "the file holds no object", "it must begin with {")
		return
	}
	d.value("", tree, reflect.ValueOf(into).Elem())
}

func join(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

func (d *decoder) value(key string, v hujson.Value, into reflect.Value) {
	if key != "" {
		d.lines[key] = d.line(v.StartOffset)
	}
	switch into.Kind() {
	case reflect.Struct:
		object, is := v.Value.(*hujson.Object)
		if !is {
			d.wrong(key, v, "an object")
			return
		}
		d.object(key, object, into)
	case reflect.Slice:
		if null, is := v.Value.(hujson.Literal); is && null.Kind() == 'n' {
			into.Set(reflect.MakeSlice(into.Type(), 0, 0)) // as an empty list is written by others
			return
		}
		array, is := v.Value.(*hujson.Array)
		if !is {
			d.wrong(key, v, "a list")
			return
		}
		out := reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements))
		for i, e := range array.Elements {
			if with, has := out.Index(i).Addr().Interface().(interface{ defaults() }); has {
				with.defaults()
			}
			d.value(fmt.Sprintf("%s[%d]", key, i), e, out.Index(i))
		}
		into.Set(out)
	default:
		d.scalar(key, v, into)
	}
}

func (d *decoder) object(key string, object *hujson.Object, into reflect.Value) {
	fields, names := map[string]int{}, []string{}
	for i := range into.NumField() {
		name := into.Type().Field(i).Tag.Get("json")
		fields[name], names = i, append(names, name)
	}
	seen := map[string]bool{}
	for _, m := range object.Members {
		var name string
		if literal, is := m.Name.Value.(hujson.Literal); is {
			name = literal.String()
		}
		i, known := fields[name]
		switch line := d.line(m.Name.StartOffset); {
		case !known:
			d.finding(line, join(key, name), "is not known", "did you mean "+nearest(name, names)+"?")
		case seen[name]:
			d.finding(line, join(key, name), "stands twice", "leave one of them out")
		default:
			d.value(join(key, name), m.Value, into.Field(i))
		}
		seen[name] = true
	}
}

// wrong says that a value is of the wrong type.
func (d *decoder) wrong(key string, v hujson.Value, want string) {
	text := string(bytes.TrimSpace(v.Pack()))
	if len(text) > 40 {
		text = text[:40] + "..."
	}
	d.finding(d.line(v.StartOffset), key, "is "+text, "it must be "+want)
}

var durationType = reflect.TypeOf(Duration(0))

func (d *decoder) scalar(key string, v hujson.Value, into reflect.Value) {
	literal, is := v.Value.(hujson.Literal)
	if into.Type() == durationType {
		if !is || literal.Kind() != '"' {
			d.wrong(key, v, `a time with its unit, such as "750ms" or "2.5s"`)
			return
		}
		t, err := time.ParseDuration(literal.String())
		if err != nil || t < 0 || t > 24*time.Hour {
			d.wrong(key, v, `a time with its unit between "0s" and "24h", such as "750ms" or "2.5s"`)
			return
		}
		into.SetInt(t.Microseconds())
		return
	}
	switch into.Kind() {
	case reflect.String:
		if !is || literal.Kind() != '"' {
			d.wrong(key, v, "a string")
			return
		}
		into.SetString(literal.String())
	case reflect.Bool:
		if !is || literal.Kind() != 't' && literal.Kind() != 'f' {
			d.wrong(key, v, "true or false")
			return
		}
		into.SetBool(literal.Kind() == 't')
	case reflect.Int:
		n, err := number(literal, is)
		if err != nil || n != math.Trunc(n) || math.Abs(n) > 1e15 {
			d.wrong(key, v, "a whole number")
			return
		}
		into.SetInt(int64(n))
	case reflect.Float64:
		n, err := number(literal, is)
		if err != nil {
			d.wrong(key, v, "a number")
			return
		}
		into.SetFloat(n)
	default:
		panic(fmt.Sprintf("config: %s has kind %s", key, into.Kind()))
	}
}

func number(literal hujson.Literal, is bool) (n float64, err error) {
	if !is || literal.Kind() != '0' {
		return 0, errors.New("no number")
	}
	err = json.Unmarshal(literal, &n)
	return n, err
}

// nearest finds the known name that takes the fewest edits.
func nearest(name string, names []string) string {
	best, least := "", 1<<30
	for _, n := range names {
		if d := edits(name, n); d < least {
			best, least = n, d
		}
	}
	return best
}

func edits(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		last := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := last
			if a[i] != b[j] {
				cost = 1 + min(last, row[j], row[j+1])
			}
			last, row[j+1] = row[j+1], cost
		}
	}
	return row[len(b)]
}
