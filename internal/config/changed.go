package config

import (
	"reflect"
	"slices"
)

// Changed names the fields of a site file in which two sites differ, beside those that may.
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
