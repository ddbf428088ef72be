// Package jsonlist splits lists of JSON values that come from many writers, so that one
// value that can't be read doesn't hide the others. Package encoding/json refuses a whole
// document for one value that is nested too deeply or has another type than expected.
package jsonlist

import (
	"bytes"
	"encoding/json"
	"io"
	"math"

	"github.com/juju/errors"
	"github.com/tidwall/gjson"
)

// maxValues bounds the values of a list, whose number says more of the memory that they take
// than the size of the document.
const maxValues = 1 << 16

// Document is a JSON object with a list. Its values are checked when they are decoded, not
// before.
type Document struct{ body []byte }

// Parse returns the document in body, or an error if that can't be a whole object.
func Parse(body []byte) (Document, error) {
	body = bytes.TrimSpace(body)
	if len(body) < 2 || body[0] != '{' || body[len(body)-1] != '}' {
		return Document{}, errors.New("the document isn't a JSON object")
	}

	return Document{body}, nil
}

// Has reports whether the document has a field.
func (d Document) Has(field string) bool { return gjson.GetBytes(d.body, field).Exists() }

// List returns the unchecked values of the list in a field, which must be there and have
// maxValues at most; null is an empty list.
func (d Document) List(field string) ([]json.RawMessage, error) {
	list := gjson.GetBytes(d.body, field)
	if list.Exists() && list.Type == gjson.Null {
		return nil, nil
	}

	if !list.IsArray() || list.Raw[len(list.Raw)-1] != ']' {
		return nil, errors.Errorf("field %s isn't a list", field)
	}

	var out []json.RawMessage

	list.ForEach(func(_, v gjson.Result) bool {
		out = append(out, json.RawMessage(v.Raw))

		return len(out) <= maxValues
	})

	if len(out) > maxValues {
		return nil, errors.Errorf("field %s has more than %d values", field, maxValues)
	}

	return out, nil
}

// Uint returns the number in a field, which must be there.
func (d Document) Uint(field string) (uint64, error) {
	v := gjson.GetBytes(d.body, field)
	if v.Type != gjson.Number || v.Num < 0 || v.Num >= math.MaxUint64 || v.Num != math.Trunc(v.Num) {
		return 0, errors.Errorf("field %s isn't a whole number", field)
	}

	return v.Uint(), nil
}

// Bool returns the truth value in a field; false if it is missing.
func (d Document) Bool(field string) bool { return gjson.GetBytes(d.body, field).Type == gjson.True }

// Raw returns the unchecked value in a field; nil if it is missing.
func (d Document) Raw(field string) []byte { return []byte(gjson.GetBytes(d.body, field).Raw) }

// Decode decodes a list of values of one kind, maxValues at most.
func Decode[T any](r io.Reader) ([]T, error) {
	d := json.NewDecoder(r)

	switch start, err := d.Token(); {
	case err != nil:
		return nil, err
	case start == nil:
		return nil, nil
	case start != json.Delim('['):
		return nil, errors.New("the document isn't a list")
	}

	var out []T

	for d.More() {
		if len(out) == maxValues {
			return nil, errors.Errorf("the list has more than %d values", maxValues)
		}

		var v T
		if err := d.Decode(&v); err != nil {
			return nil, err
		}

		out = append(out, v)
	}

	_, err := d.Token()

	return out, err
}

// Text returns the text at a path in a value that can't be decoded; empty if there is none.
func Text(value []byte, path string) string {
	if v := gjson.GetBytes(value, path); v.Type == gjson.String {
		return v.Str
	}

	return ""
}
