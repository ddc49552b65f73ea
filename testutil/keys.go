package testutil

import (
	"reflect"
	"strings"
	"testing"
)

// modulePath is the prefix of the import paths of this module, whose types must have explicit keys.
const modulePath = "porthub"

// RequireKeys fails the test for each exported field without an explicit key in the structs of this module that the types
// contain, at any depth. Without a key the encoders use the Go name, so that renaming the field would make old documents
// unreadable. tag is "json" or "cbor". A field without a cbor tag may have a json tag instead, which the CBOR encoder uses.
func RequireKeys(t *testing.T, tag string, types ...reflect.Type) {
	t.Helper()
	seen := map[reflect.Type]bool{}
	for _, typ := range types {
		requireKeys(t, tag, typ, seen)
	}
}

func requireKeys(t *testing.T, tag string, typ reflect.Type, seen map[reflect.Type]bool) {
	t.Helper()
	if seen[typ] {
		return
	}
	seen[typ] = true
	switch typ.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		requireKeys(t, tag, typ.Elem(), seen)
	case reflect.Map:
		requireKeys(t, tag, typ.Elem(), seen)
	case reflect.Struct:
		if !strings.HasPrefix(typ.PkgPath(), modulePath) {
			return
		}
		for i := range typ.NumField() {
			requireFieldKey(t, tag, typ, typ.Field(i), seen)
		}
	}
}

func requireFieldKey(t *testing.T, tag string, typ reflect.Type, field reflect.StructField, seen map[reflect.Type]bool) {
	t.Helper()
	if !field.IsExported() {
		return
	}
	_, has := field.Tag.Lookup(tag)
	if _, json := field.Tag.Lookup("json"); tag == "cbor" && json {
		has = true
	}
	if !has && !field.Anonymous {
		t.Errorf("%s.%s has no explicit %s key", typ, field.Name, tag)
	}
	requireKeys(t, tag, field.Type, seen)
}
