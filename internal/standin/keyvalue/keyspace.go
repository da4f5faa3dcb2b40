package keyvalue

import (
	"slices"
	"strings"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// keySpace holds the keys with an ordered index for reads by prefix.
type keySpace struct {
	entries map[string]outside.KeyValue
	// ordered keys.
	ordered []string
}

func newKeySpace() keySpace {
	return keySpace{entries: map[string]outside.KeyValue{}}
}

func (k *keySpace) get(key string) (outside.KeyValue, bool) {
	keyValue, exists := k.entries[key]
	return keyValue, exists
}

func (k *keySpace) put(keyValue outside.KeyValue) {
	if _, exists := k.entries[keyValue.Key]; !exists {
		position, _ := slices.BinarySearch(k.ordered, keyValue.Key)
		k.ordered = slices.Insert(k.ordered, position, keyValue.Key)
	}
	k.entries[keyValue.Key] = keyValue
}

func (k *keySpace) remove(key string) {
	if _, exists := k.entries[key]; !exists {
		return
	}
	position, _ := slices.BinarySearch(k.ordered, key)
	k.ordered = slices.Delete(k.ordered, position, position+1)
	delete(k.entries, key)
}

func (k *keySpace) withPrefix(prefix string) []outside.KeyValue {
	var found []outside.KeyValue
	position, _ := slices.BinarySearch(k.ordered, prefix)
	for _, key := range k.ordered[position:] {
		if !strings.HasPrefix(key, prefix) {
			break
		}
		found = append(found, k.entries[key])
	}
	return found
}
