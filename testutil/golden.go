// Package testutil has helpers that tests of several packages share: values with every field set, golden files, and the
// check that types which are stored or sent name their keys.
package testutil

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"
)

var update = flag.Bool("update-golden", false, "write golden files instead of comparing with them")

// modulePath is the prefix of the import paths whose types have to name their keys.
const modulePath = "porthub"

// Golden compares got with a file of testdata, or writes the file if the test runs with -update-golden.
func Golden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%s\nwant\n%s", path, got, want)
	}
}

// Updating tells whether golden files are being written. A test that needs an old file to read may not write one then.
func Updating() bool { return *update }

// ReadGolden reads a golden file.
func ReadGolden(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Filled returns a T in which every exported field, at any depth, has a value of its own that is not zero. Slices and maps have
// one element. It fails the test on a type that it can't fill, and where a field is still zero.
func Filled[T any](t *testing.T) T {
	t.Helper()
	var value T
	f := &filler{t: t}
	f.fill(reflect.ValueOf(&value).Elem(), reflect.TypeFor[T]().String())
	RequireSet(t, value)
	return value
}

type filler struct {
	t    *testing.T
	next int64
}

func (f *filler) fill(v reflect.Value, path string) {
	f.t.Helper()
	f.next++
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64, reflect.Int32, reflect.Int16:
		v.SetInt(f.next)
	case reflect.Int8:
		v.SetInt(1 + f.next%100)
	case reflect.Uint, reflect.Uint64, reflect.Uint32, reflect.Uint16:
		v.SetUint(uint64(f.next))
	case reflect.Uint8:
		v.SetUint(uint64(1 + f.next%200))
	case reflect.Float64, reflect.Float32:
		v.SetFloat(float64(f.next) + 0.5)
	case reflect.String:
		v.SetString("text " + strconv.FormatInt(f.next, 10))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem(), path)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		f.fill(v.Index(0), path+"[0]")
	case reflect.Array:
		for i := range v.Len() {
			f.fill(v.Index(i), path+"["+strconv.Itoa(i)+"]")
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		key, element := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(key, path+" key")
		f.fill(element, path+" element")
		v.SetMapIndex(key, element)
	case reflect.Struct:
		for i := range v.NumField() {
			if field := v.Type().Field(i); field.IsExported() {
				f.fill(v.Field(i), path+"."+field.Name)
			}
		}
	case reflect.Interface:
		if v.NumMethod() > 0 {
			f.t.Fatalf("%s: no value for a %s", path, v.Type())
		}
		v.Set(reflect.ValueOf("text " + strconv.FormatInt(f.next, 10)))
	default:
		f.t.Fatalf("%s: no value for a %s", path, v.Type())
	}
}

// RequireSet fails the test where an exported field, at any depth, is zero: a field that was added and that a golden file
// does not show yet.
func RequireSet(t *testing.T, value any) {
	t.Helper()
	requireSet(t, reflect.ValueOf(value), reflect.TypeOf(value).String())
}

func requireSet(t *testing.T, v reflect.Value, path string) {
	t.Helper()
	if v.IsZero() {
		t.Errorf("%s is zero", path)
		return
	}
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		requireSet(t, v.Elem(), path)
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			requireSet(t, v.Index(i), path+"["+strconv.Itoa(i)+"]")
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			requireSet(t, v.MapIndex(key), path+"["+key.String()+"]")
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if field := v.Type().Field(i); field.IsExported() {
				requireSet(t, v.Field(i), path+"."+field.Name)
			}
		}
	}
}

// RequireKeys fails the test where a struct of this module that a type holds, at any depth, has an exported field without an
// explicit key: without one the Go name is the key, and renaming the field would make old documents unreadable. tag is
// "json" or "cbor"; as the CBOR encoder does, a field without a cbor tag goes by its json tag.
func RequireKeys(t *testing.T, tag string, types ...reflect.Type) {
	t.Helper()
	seen := map[reflect.Type]bool{}
	for _, one := range types {
		requireKeys(t, tag, one, seen)
	}
}

func requireKeys(t *testing.T, tag string, of reflect.Type, seen map[reflect.Type]bool) {
	t.Helper()
	if seen[of] {
		return
	}
	seen[of] = true
	switch of.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		requireKeys(t, tag, of.Elem(), seen)
	case reflect.Map:
		requireKeys(t, tag, of.Elem(), seen)
	case reflect.Struct:
		if !strings.HasPrefix(of.PkgPath(), modulePath) {
			return
		}
		for i := range of.NumField() {
			requireFieldKey(t, tag, of, of.Field(i), seen)
		}
	}
}

func requireFieldKey(t *testing.T, tag string, of reflect.Type, field reflect.StructField, seen map[reflect.Type]bool) {
	t.Helper()
	if !field.IsExported() {
		return
	}
	_, has := field.Tag.Lookup(tag)
	if _, json := field.Tag.Lookup("json"); tag == "cbor" && json {
		has = true
	}
	if !has && !field.Anonymous {
		t.Errorf("%s.%s has no %s key", of, field.Name, tag)
	}
	requireKeys(t, tag, field.Type, seen)
}
