package config

import (
	"reflect"
	"slices"
)

// ChangedFields returns the names, as in the site file, of the top-level fields in which two sites differ.
// Fields named in ignored are not compared.
func ChangedFields(a, b *Site, ignored ...string) (names []string) {
	x, y := reflect.ValueOf(*a), reflect.ValueOf(*b)
	for i := range x.NumField() {
		name := x.Type().Field(i).Tag.Get("json")
		if !slices.Contains(ignored, name) && !reflect.DeepEqual(x.Field(i).Interface(), y.Field(i).Interface()) {
			names = append(names, name)
		}
	}
	return names
}
