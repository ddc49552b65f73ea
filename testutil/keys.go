package testutil

import (
	"reflect"
	"strings"
	"testing"
)

// modulePath is the prefix of the import paths whose types have to name their keys.
const modulePath = "porthub"

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
