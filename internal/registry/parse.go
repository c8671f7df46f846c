package registry

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"

	"github.com/hashicorp/consul/api"

	"rainpulley/internal/config"
	"rainpulley/internal/reconcile"
	"rainpulley/internal/timeconv"
	"rainpulley/internal/view"
)

// Keys of the service metadata that describes a box. Consul allows letters, digits, - and _ in these keys.
const (
	MetaZone    = "rainpulley-zone"
	MetaKind    = "rainpulley-kind"
	MetaCell    = "rainpulley-cell"
	MetaWeight  = "rainpulley-weight"
	MetaStarted = "rainpulley-started-ms"
	MetaDrain   = "rainpulley-drain" // "true": the box gets no new sessions
)

// IDs of the checks that Consul adds in maintenance mode; that of a service has the service's ID appended.
const (
	nodeMaintenance    = "_node_maintenance"
	serviceMaintenance = "_service_maintenance"
)

// parseBoxes turns service entries into boxes in order of their ids. An entry that does not fit the site is left
// out and reported as a fault, without effect on the others; if it has an address, its health and drain are in invalid.
// Of two entries with the same address, the one with the later start is used.
func parseBoxes(site *config.Site, entries []*api.ServiceEntry) (
	out []Box, invalid []reconcile.Entry, faults []string) {
	byID := map[string]Box{}
	for _, e := range entries {
		b, err := parseBox(site, e)
		if err != nil {
			faults = append(faults, err.Error())
			if b.ID != "" {
				invalid = append(invalid, b.Entry)
			}
			continue
		}
		if old, duplicate := byID[b.ID]; duplicate {
			faults = append(faults, fmt.Sprintf("%s: two entries", b.ID))
			if old.Started > b.Started {
				continue
			}
		}
		byID[b.ID] = b
	}
	for _, b := range byID {
		out = append(out, b)
	}
	invalid = slices.DeleteFunc(invalid, func(e reconcile.Entry) bool { _, valid := byID[e.ID]; return valid })
	slices.SortFunc(invalid, func(a, b reconcile.Entry) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(out, func(a, b Box) int { return cmp.Compare(a.ID, b.ID) })
	slices.Sort(faults)
	return out, invalid, faults
}

// parseBox turns a service entry into a box and validates it against the site. With an error, the box has an Entry if the
// entry has a valid address.
func parseBox(site *config.Site, e *api.ServiceEntry) (Box, error) {
	if e == nil || e.Service == nil {
		return Box{}, fmt.Errorf("entry has no service")
	}
	host := e.Service.Address // empty: the node's address applies (Consul API, "Service Address")
	if host == "" && e.Node != nil {
		host = e.Node.Address
	}
	id := net.JoinHostPort(host, strconv.Itoa(e.Service.Port))
	var b Box
	invalid := func(key, format string, a ...any) (Box, error) {
		return Box{Entry: b.Entry}, fmt.Errorf("service %q at %s: %s: %s", e.Service.ID, id, key, fmt.Sprintf(format, a...))
	}
	if host == "" || e.Service.Port < 1 || e.Service.Port > 65535 {
		return invalid("address", "host is missing or port is out of range")
	}
	meta := e.Service.Meta
	b = Box{Entry: reconcile.Entry{ID: id, Address: id, Drain: meta[MetaDrain] == "true"}, Zone: meta[MetaZone],
		Kind: meta[MetaKind], Weight: 1}
	b.Health = worstHealth(e.Checks, &b.Drain)
	if site.ZoneIndex(b.Zone) < 0 {
		return invalid(MetaZone, "%q is not a zone of the site", b.Zone)
	}
	if site.KindIndex(b.Kind) < 0 {
		return invalid(MetaKind, "%q is not a kind of the site", b.Kind)
	}
	var err error
	if b.Cell, err = strconv.Atoi(meta[MetaCell]); err != nil || b.Cell < 0 || b.Cell >= site.Cells {
		return invalid(MetaCell, "%q is not a number from 0 to %d", meta[MetaCell], site.Cells-1)
	}
	if w, given := meta[MetaWeight]; given {
		if b.Weight, err = strconv.ParseFloat(w, 64); err != nil || !(b.Weight > 0) || math.IsInf(b.Weight, 0) {
			return invalid(MetaWeight, "%q is not a finite number above 0", w)
		}
	}
	if s, given := meta[MetaStarted]; given {
		if b.Started, err = strconv.ParseInt(s, 10, 64); err != nil || b.Started < 0 || b.Started > timeconv.MaxUnixMilli {
			return invalid(MetaStarted, "%q is not a valid time in Unix milliseconds", s)
		}
	}
	return b, nil
}

// worstHealth returns the worst health of an entry's checks. Maintenance mode sets drain and is no failure,
// because playing sessions continue.
func worstHealth(checks api.HealthChecks, drain *bool) reconcile.Health {
	worst := reconcile.Passing
	for _, c := range checks {
		switch {
		case c.CheckID == nodeMaintenance || strings.HasPrefix(c.CheckID, serviceMaintenance):
			*drain = true
		case c.Status == api.HealthCritical:
			worst = max(worst, reconcile.Critical)
		case c.Status == api.HealthWarning:
			worst = max(worst, reconcile.Warning)
		case c.Status != api.HealthPassing: // an unknown status is treated as a warning
			worst = max(worst, reconcile.Warning)
		}
	}
	return worst
}

// parseTitles reads titles from the key-value pairs under the prefix: the rest of a key is the title's name, the
// value is {"home","span","length_ms"}. invalid holds the titles whose entry could not be read, by name.
func parseTitles(site *config.Site, prefix string, pairs api.KVPairs) (
	out []view.Title, invalid map[string]string, faults []string) {
	out, invalid = []view.Title{}, map[string]string{}
	for _, pair := range pairs {
		name := strings.TrimPrefix(pair.Key, prefix)
		if name == "" { // the key of the folder itself
			continue
		}
		t := view.Title{Name: name}
		decoder := json.NewDecoder(strings.NewReader(string(pair.Value)))
		decoder.DisallowUnknownFields()
		err := decoder.Decode(&t)
		switch {
		case err != nil:
		case t.Name != name || !config.IsPathSegment(name):
			err = fmt.Errorf("name %q differs from the key, or is no valid URL path segment", t.Name)
		case t.HomeCell < 0 || t.HomeCell >= site.Cells || t.CellSpan < 1 || t.CellSpan > site.Cells:
			err = fmt.Errorf("home %d and span %d do not fit %d cells", t.HomeCell, t.CellSpan, site.Cells)
		case t.LengthMs < 0 || t.LengthMs > timeconv.MaxDuration.Milliseconds():
			err = fmt.Errorf("length_ms %d is out of range", t.LengthMs)
		case t.Listed || t.Holders != nil:
			err = fmt.Errorf("holders must not be set in the catalogue")
		}
		if err != nil {
			faults = append(faults, fmt.Sprintf("key %s: %v", pair.Key, err))
			invalid[name] = err.Error()
			continue
		}
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b view.Title) int { return cmp.Compare(a.Name, b.Name) })
	return out, invalid, faults
}
