package settings

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// expectedForm describes the values that are allowed at a key of a type.
func expectedForm(root reflect.Type, key string) string {
	found := typeAt(root, keySegments(key))
	switch {
	case found == nil:
		return "a documented key"
	case found == durationType:
		return `a duration such as "30s" or "2m"`
	case found == sizeType:
		return `a size such as "64MiB" or "400MB"`
	}
	switch found.Kind() {
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "a list"
	case reflect.Struct, reflect.Map:
		return "a mapping"
	default:
		return "a whole number"
	}
}

// typeAt returns the type at a key of a type, or nil if there is no such key.
func typeAt(root reflect.Type, segments []string) reflect.Type {
	current := root
	for _, step := range segments {
		switch current.Kind() {
		case reflect.Struct:
			field, found := fieldByKey(current, step)
			if !found {
				return nil
			}
			current = field.Type
		case reflect.Slice:
			if _, err := strconv.Atoi(step); err != nil {
				return nil
			}
			current = current.Elem()
		case reflect.Map:
			current = current.Elem()
		default:
			return nil
		}
	}
	return current
}

// fieldByKey returns the struct field whose koanf tag is the key.
func fieldByKey(structure reflect.Type, key string) (reflect.StructField, bool) {
	for index := range structure.NumField() {
		if field := structure.Field(index); field.Tag.Get(keyTag) == key {
			return field, true
		}
	}
	return reflect.StructField{}, false
}

// addUnknownKeys compares a value with its expected type and adds a problem for
// each key that the type does not have.
func addUnknownKeys(path string, value any, form reflect.Type, problems *problemList) {
	switch found := value.(type) {
	case map[string]any:
		for _, key := range sortedKeys(found) {
			addUnknownKey(joinKey(path, key), key, found[key], form, problems)
		}
	case []any:
		if form.Kind() != reflect.Slice {
			return
		}
		for index, item := range found {
			addUnknownKeys(fmt.Sprintf("%s[%d]", path, index), item, form.Elem(), problems)
		}
	}
}

func addUnknownKey(path, key string, value any, form reflect.Type, problems *problemList) {
	switch form.Kind() {
	case reflect.Struct:
		field, known := fieldByKey(form, key)
		if !known {
			problems.add(path, value, "one of the keys "+strings.Join(keysOf(form), ", "))
			return
		}
		addUnknownKeys(path, value, field.Type, problems)
	case reflect.Map:
		addUnknownKeys(path, value, form.Elem(), problems)
	}
}

func joinKey(path, key string) string {
	if path == "" {
		return key
	}
	return path + keyDelimiter + key
}

func keysOf(structure reflect.Type) []string {
	keys := make([]string, structure.NumField())
	for index := range keys {
		keys[index] = structure.Field(index).Tag.Get(keyTag)
	}
	return keys
}
