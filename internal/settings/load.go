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

// Load merges a YAML file over the defaults, and the overrides over both. The keys
// of overrides are paths such as "node.zone"; command-line flags are passed as
// overrides. All problems are returned at once; if there are any, the settings must
// not be used.
func Load(file []byte, overrides map[string]any) (Settings, []Problem) {
	result := Default()
	var problems problemList
	readable := decode(file, overrides, &result, &problems)
	if !readable {
		return result, problems.problems
	}
	applyDerivedDefaults(&result)
	validate(&result, &problems)
	checkAcrossSections(&result, &problems)
	return result, problems.problems
}

// decode decodes the file and the overrides into target, and adds a problem for
// each key or value that does not match target's type. It returns false if the file
// is too large or not valid YAML.
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
