package wiretest

import (
	"reflect"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
)

// Kept encodes a message, decodes it into a value of another version's type, and reports whether that
// value has every field that its type knows as the message has it. fields is the number of the fields
// that the other type must have got.
func Kept(message, into any, fields int) (bool, error) {
	sent, err := cbor.Marshal(message)
	if err != nil {
		return false, merry.Wrap(err)
	}
	if err := cbor.Unmarshal(sent, into); err != nil {
		return false, merry.Wrap(err)
	}
	again, err := cbor.Marshal(into)
	if err != nil {
		return false, merry.Wrap(err)
	}
	var larger, smaller map[int]any
	if err := cbor.Unmarshal(sent, &larger); err != nil {
		return false, merry.Wrap(err)
	}
	if err := cbor.Unmarshal(again, &smaller); err != nil {
		return false, merry.Wrap(err)
	}
	return len(smaller) == fields && contains(larger, smaller), nil
}

// contains reports whether a decoded value has all that another one has: maps may have more keys, all
// else is equal.
func contains(larger, smaller any) bool {
	l, s := reflect.ValueOf(larger), reflect.ValueOf(smaller)
	if !l.IsValid() || !s.IsValid() {
		return l.IsValid() == s.IsValid() // both are null
	}
	if l.Kind() != s.Kind() {
		return false
	}
	switch l.Kind() {
	case reflect.Map:
		for _, key := range s.MapKeys() {
			value := l.MapIndex(key)
			if !value.IsValid() || !contains(value.Interface(), s.MapIndex(key).Interface()) {
				return false
			}
		}
		return true
	case reflect.Slice:
		if l.Len() != s.Len() {
			return false
		}
		for i := range l.Len() {
			if !contains(l.Index(i).Interface(), s.Index(i).Interface()) {
				return false
			}
		}
		return true
	default:
		return reflect.DeepEqual(larger, smaller)
	}
}
