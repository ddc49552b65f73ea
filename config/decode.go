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

const (
	maxQuoted   = 40             // bytes of an invalid value that a finding quotes
	maxDuration = 24 * time.Hour // a longer duration most likely has the wrong unit
	maxInteger  = 1e15           // below 2^53: a float64 represents every integer up to it exactly
)

// defaulter is implemented by list elements that have defaults of their own.
type defaulter interface{ setDefaults() }

// decoder fills a struct from a syntax tree. It is used in place of encoding/json so that each finding has a line number.
type decoder struct {
	file     string
	text     []byte
	findings []Finding
	lines    map[string]int // line of each key, by its path
}

func newDecoder(file string, text []byte) *decoder {
	return &decoder{file: file, text: text, lines: map[string]int{}}
}

// err returns the findings as a ValidationError, or nil.
func (d *decoder) err() error {
	if len(d.findings) == 0 {
		return nil
	}
	return ValidationError(d.findings)
}

func (d *decoder) report(line int, key, problem, remedy string) {
	d.findings = append(d.findings, Finding{File: d.file, Line: line, Key: key, Problem: problem, Remedy: remedy})
}

// lineAt returns the line of an offset, from 1.
func (d *decoder) lineAt(offset int) int {
	return 1 + bytes.Count(d.text[:min(offset, len(d.text))], []byte("\n"))
}

// lineOf returns the line of a key, or of its nearest parent in the file, or 1 if the file has none of them.
func (d *decoder) lineOf(key string) int {
	for key != "" {
		if line, ok := d.lines[key]; ok {
			return line
		}
		key = key[:max(0, strings.LastIndexAny(key, ".["))]
	}
	return 1
}

// syntaxErrorPosition matches the position in the text of hujson's errors, which provide it in no other form.
var syntaxErrorPosition = regexp.MustCompile(`line (\d+), column (\d+)`)

func (d *decoder) document(into any) {
	tree, err := hujson.Parse(d.text)
	if err != nil {
		line := 1
		if match := syntaxErrorPosition.FindStringSubmatch(err.Error()); match != nil {
			line, _ = strconv.Atoi(match[1])
		}
		d.report(line, "-", err.Error(), "the file must be JSON, comments and trailing commas allowed")
		return
	}
	if _, ok := tree.Value.(*hujson.Object); !ok {
		d.report(1, "-", "the file has no JSON object", "it must begin with {")
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
		d.lines[key] = d.lineAt(v.StartOffset)
	}
	switch into.Kind() {
	case reflect.Struct:
		object, ok := v.Value.(*hujson.Object)
		if !ok {
			d.reportInvalid(key, v, "an object")
			return
		}
		d.object(key, object, into)
	case reflect.Slice:
		d.list(key, v, into)
	default:
		d.scalar(key, v, into)
	}
}

func (d *decoder) object(key string, object *hujson.Object, into reflect.Value) {
	var names []string
	fields := map[string]int{}
	for i := range into.NumField() {
		name := into.Type().Field(i).Tag.Get("json")
		fields[name] = i
		names = append(names, name)
	}
	seen := map[string]bool{}
	for _, member := range object.Members {
		var name string
		if literal, ok := member.Name.Value.(hujson.Literal); ok {
			name = literal.String()
		}
		field, ok := fields[name]
		line := d.lineAt(member.Name.StartOffset)
		switch {
		case !ok:
			d.report(line, join(key, name), "is not known", "did you mean "+nearest(name, names)+"?")
		case seen[name]:
			d.report(line, join(key, name), "appears twice", "remove one of them")
		default:
			d.value(join(key, name), member.Value, into.Field(field))
		}
		seen[name] = true
	}
}

func (d *decoder) list(key string, v hujson.Value, into reflect.Value) {
	if literal, ok := v.Value.(hujson.Literal); ok && literal.Kind() == 'n' {
		// Other programs write an empty list as null.
		into.Set(reflect.MakeSlice(into.Type(), 0, 0))
		return
	}
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.reportInvalid(key, v, "a list")
		return
	}
	list := reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements))
	for i, element := range array.Elements {
		if target, ok := list.Index(i).Addr().Interface().(defaulter); ok {
			target.setDefaults()
		}
		d.value(fmt.Sprintf("%s[%d]", key, i), element, list.Index(i))
	}
	into.Set(list)
}

// reportInvalid reports a value that has the wrong type or is out of range.
func (d *decoder) reportInvalid(key string, v hujson.Value, want string) {
	text := string(bytes.TrimSpace(v.Pack()))
	if len(text) > maxQuoted {
		text = text[:maxQuoted] + "..."
	}
	d.report(d.lineAt(v.StartOffset), key, "is "+text, "it must be "+want)
}

// errInvalidValue is returned by the functions that set a scalar. The caller reports the expected value and the one found.
var errInvalidValue = errors.New("the value has the wrong type or is out of range")

// scalar sets a field that is neither a struct nor a slice. The types below are all that configurations and suites use; it panics
// on any other.
func (d *decoder) scalar(key string, v hujson.Value, into reflect.Value) {
	literal, _ := v.Value.(hujson.Literal) // nil for an object or a list, which no type of field accepts
	var want string
	var err error
	switch {
	case into.Type() == reflect.TypeFor[Duration]():
		want, err = setDuration(literal, into)
	case into.Kind() == reflect.String:
		want, err = "a string", setString(literal, into)
	case into.Kind() == reflect.Bool:
		want, err = "true or false", setBool(literal, into)
	case into.Kind() == reflect.Int:
		want, err = "a whole number", setInteger(literal, into)
	case into.Kind() == reflect.Float64:
		want, err = "a number", setFloat(literal, into)
	default:
		panic(fmt.Sprintf("config: the field of key %s has the unsupported kind %s", key, into.Kind()))
	}
	if err != nil {
		d.reportInvalid(key, v, want)
	}
}

func setDuration(literal hujson.Literal, into reflect.Value) (want string, err error) {
	if literal.Kind() != '"' {
		return `a time with its unit, such as "750ms" or "2.5s"`, errInvalidValue
	}
	duration, err := time.ParseDuration(literal.String())
	if err != nil || duration < 0 || duration > maxDuration {
		return `a time with its unit between "0s" and "24h", such as "750ms" or "2.5s"`, errInvalidValue
	}
	into.SetInt(duration.Microseconds())
	return "", nil
}

func setString(literal hujson.Literal, into reflect.Value) error {
	if literal.Kind() != '"' {
		return errInvalidValue
	}
	into.SetString(literal.String())
	return nil
}

func setBool(literal hujson.Literal, into reflect.Value) error {
	kind := literal.Kind()
	if kind != 't' && kind != 'f' {
		return errInvalidValue
	}
	into.SetBool(kind == 't')
	return nil
}

func setInteger(literal hujson.Literal, into reflect.Value) error {
	n, err := number(literal)
	if err != nil {
		return err
	}
	if n != math.Trunc(n) || math.Abs(n) > maxInteger {
		return errInvalidValue
	}
	into.SetInt(int64(n))
	return nil
}

func setFloat(literal hujson.Literal, into reflect.Value) error {
	n, err := number(literal)
	if err != nil {
		return err
	}
	into.SetFloat(n)
	return nil
}

func number(literal hujson.Literal) (n float64, err error) {
	if literal.Kind() != '0' {
		return 0, errInvalidValue
	}
	err = json.Unmarshal(literal, &n)
	return n, err
}
