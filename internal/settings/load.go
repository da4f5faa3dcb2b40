package settings

import (
	"fmt"
	"maps"
	"reflect"
	"slices"

	"github.com/go-viper/mapstructure/v2"
	"github.com/knadh/koanf/parsers/yaml"
	"github.com/knadh/koanf/providers/rawbytes"
	"github.com/knadh/koanf/v2"
)

const (
	keyDelimiter = "."
	keyTag       = "koanf"
)

// Load reads a YAML file on top of the defaults and overrides on top of that.
// The overrides' keys are paths, such as "node.zone"; flags are given this way.
// All problems are returned at once; with any, the settings must not be used.
func Load(file []byte, overrides map[string]any) (Settings, []Problem) {
	result := Default()
	var problems problemList
	readable := decode(file, overrides, &result, &problems)
	if !readable {
		return result, problems.problems
	}
	fillIn(&result)
	validate(&result, &problems)
	checkReferences(&result, &problems)
	return result, problems.problems
}

// decode fills target and reports what does not fit it. It returns false when
// nothing could be read.
func decode(file []byte, overrides map[string]any, target any, problems *problemList) bool {
	if len(file) > MaxInputBytes {
		problems.add("", fmt.Sprintf("%d bytes", len(file)), fmt.Sprintf("at most %d bytes", MaxInputBytes))
		return false
	}
	tree := koanf.New(keyDelimiter)
	if err := tree.Load(rawbytes.Provider(file), yaml.Parser()); err != nil {
		problems.add("", err.Error(), "a YAML mapping with each key once")
		return false
	}
	for _, key := range sortedKeys(overrides) {
		if err := tree.Set(key, overrides[key]); err != nil {
			problems.add(key, overrides[key], "a value that can be set: "+err.Error())
		}
	}
	err := tree.UnmarshalWithConf("", target, koanf.UnmarshalConf{DecoderConfig: &mapstructure.DecoderConfig{
		TagName:    keyTag,
		DecodeHook: strictHook,
		MatchName:  func(key, field string) bool { return key == field },
	}})
	addDecodeErrors(err, reflect.TypeOf(target).Elem(), tree.Raw(), problems)
	addUnknownKeys("", tree.Raw(), reflect.TypeOf(target).Elem(), problems)
	return true
}

func sortedKeys[T any](values map[string]T) []string { return slices.Sorted(maps.Keys(values)) }
