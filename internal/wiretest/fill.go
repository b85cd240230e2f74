package wiretest

import (
	"reflect"

	"github.com/fxamacker/cbor/v2"
)

// Fill returns a value whose exported fields are all set, so that a message has every field that its
// type can send, those added later included.
func Fill[T any]() T {
	var value T
	fill(reflect.ValueOf(&value).Elem())
	return value
}

func fill(v reflect.Value) {
	if v.Type() == reflect.TypeFor[cbor.RawMessage]() {
		v.SetBytes([]byte{0x07})
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i))
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0))
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key)
		fill(value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString("x")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(1.5)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(7)
	default:
		v.SetInt(7)
	}
}
