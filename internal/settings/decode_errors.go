package settings

import (
	"errors"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/go-viper/mapstructure/v2"

	"github.com/hatchplank/hatchplank/internal/table"
)

var (
	durationType = reflect.TypeFor[time.Duration]()
	sizeType     = reflect.TypeFor[Size]()
	errWrongType = errors.New("value has the wrong type or format")
)

// strictHook parses durations and sizes. It rejects numbers without a unit for
// durations, and values for integers that would be truncated or converted.
func strictHook(from, to reflect.Type, data any) (any, error) {
	switch {
	case from == to:
		return data, nil
	case to == durationType:
		return parseText(data, time.ParseDuration)
	case to == sizeType && from.Kind() == reflect.String:
		size, err := parseText(data, table.ParseSize)
		return size, err
	case isInteger(to.Kind()) && !isInteger(from.Kind()):
		return nil, errWrongType
	}
	return data, nil
}

// parseText parses a value that must be a string.
func parseText[T any](data any, parse func(string) (T, error)) (any, error) {
	text, isText := data.(string)
	if !isText {
		return nil, errWrongType
	}
	value, err := parse(text)
	if err != nil {
		return nil, errWrongType
	}
	return value, nil
}

func isInteger(kind reflect.Kind) bool { return kind >= reflect.Int && kind <= reflect.Uint64 }

// addDecodeErrors adds a problem for each value of the wrong type or format.
func addDecodeErrors(err error, form reflect.Type, raw map[string]any, problems *problemList) {
	if err == nil {
		return
	}
	if joined, isJoined := err.(interface{ Unwrap() []error }); isJoined {
		for _, part := range joined.Unwrap() {
			addDecodeErrors(part, form, raw, problems)
		}
		return
	}
	var decodeError *mapstructure.DecodeError
	if !errors.As(err, &decodeError) {
		problems.add("", err.Error(), "settings of the documented form")
		return
	}
	inner := decodeError.Unwrap()
	if _, nested := inner.(interface{ Unwrap() []error }); nested {
		addDecodeErrors(inner, form, raw, problems)
		return
	}
	key := decodeError.Name()
	problems.add(key, lookup(raw, key), expectedForm(form, key))
}

// lookup returns the value at a key such as "tenants[0].weight", or nil if there is
// none.
func lookup(raw map[string]any, key string) any {
	var value any = raw
	for _, step := range keySegments(key) {
		switch container := value.(type) {
		case map[string]any:
			value = container[step]
		case []any:
			index, err := strconv.Atoi(step)
			if err != nil || index < 0 || index >= len(container) {
				return nil
			}
			value = container[index]
		default:
			return nil
		}
	}
	return value
}

// keySegments splits "tenants[0].weight" into "tenants", "0", "weight".
func keySegments(key string) []string {
	return strings.FieldsFunc(key, func(letter rune) bool {
		return letter == '.' || letter == '[' || letter == ']'
	})
}
