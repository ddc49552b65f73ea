package testutil

import (
	"reflect"
	"strconv"
	"testing"
)

// Filled returns a T in which every exported field, at any depth, has a value other than zero. Fields of the same type have
// different values, as far as the type allows. Slices and maps have one element. It fails the test if it can't fill a type, or
// if a field is zero nevertheless.
func Filled[T any](t *testing.T) T {
	t.Helper()
	var value T
	f := &filler{t: t}
	f.fill(reflect.ValueOf(&value).Elem(), reflect.TypeFor[T]().String())
	RequireNonZero(t, value)
	return value
}

// filler sets fields. It derives their values from next, which counts the fields, so that the values differ.
type filler struct {
	t    *testing.T
	next int64
}

func (f *filler) fill(v reflect.Value, path string) {
	f.t.Helper()
	f.next++
	if f.fillNumber(v) {
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString(f.text())
	case reflect.Interface:
		if v.NumMethod() > 0 {
			f.t.Fatalf("%s: can't fill the interface type %s, which has methods", path, v.Type())
		}
		v.Set(reflect.ValueOf(f.text()))
	default:
		f.fillElements(v, path)
	}
}

func (f *filler) text() string { return "text " + strconv.FormatInt(f.next, 10) }

// fillNumber sets v if it is a number, and returns false otherwise.
func (f *filler) fillNumber(v reflect.Value) bool {
	switch v.Kind() {
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
	default:
		return false
	}
	return true
}

// fillElements fills the elements of a pointer, slice, array, map or struct.
func (f *filler) fillElements(v reflect.Value, path string) {
	f.t.Helper()
	switch v.Kind() {
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
	default:
		f.t.Fatalf("%s: can't fill a value of type %s", path, v.Type())
	}
}

// RequireNonZero fails the test for each exported field, at any depth, that is zero, such as a new field that a golden file does
// not contain yet.
func RequireNonZero(t *testing.T, value any) {
	t.Helper()
	requireNonZero(t, reflect.ValueOf(value), reflect.TypeOf(value).String())
}

func requireNonZero(t *testing.T, v reflect.Value, path string) {
	t.Helper()
	if v.IsZero() {
		t.Errorf("%s is zero", path)
		return
	}
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		requireNonZero(t, v.Elem(), path)
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			requireNonZero(t, v.Index(i), path+"["+strconv.Itoa(i)+"]")
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			requireNonZero(t, v.MapIndex(key), path+"["+key.String()+"]")
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if field := v.Type().Field(i); field.IsExported() {
				requireNonZero(t, v.Field(i), path+"."+field.Name)
			}
		}
	}
}
