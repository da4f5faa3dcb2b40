// Package defaults fills in the fields of configurations that were left zero.
package defaults

// Set gives a field that is zero its default.
func Set[Value comparable](field *Value, standard Value) {
	var zero Value
	if *field == zero {
		*field = standard
	}
}
