package environment

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"waxwingslip.example/core/strictyaml"
)

// ErrNoSuchZone means that a document does not declare the zone.
var ErrNoSuchZone = errors.New("zone is not declared in the document")

// SetZone returns the text of a valid document with the zone taken out of service or put back. Only that
// field's text changes, so comments and layout stay. Without a change it returns the text unchanged.
func SetZone(document []byte, zone string, outOfService bool) ([]byte, error) {
	doc, err := Parse(document)
	if err != nil {
		return nil, errors.Wrap(err, "set zone: current document")
	}
	want, path, ok := withZone(doc, zone, outOfService)
	if !ok {
		return nil, errors.Wrapf(ErrNoSuchZone, "%q, declared are %s", zone, joinSorted(doc.ZoneNames()))
	}
	if Equal(doc, want) {
		return document, nil
	}
	value := fmt.Sprint(outOfService)
	f := decodeFile(document)
	var edited []byte
	if f.Has(path + ".outOfService") {
		edited, err = f.ReplaceScalar(document, path+".outOfService", value)
	} else {
		edited, err = f.InsertAfter(document, path+".name", "outOfService", value)
	}
	if err != nil {
		return nil, errors.Wrapf(err, "set zone %s", zone)
	}
	return verifyEdit(edited, want)
}

// decodeFile decodes a valid document to locate its fields.
func decodeFile(document []byte) *strictyaml.File {
	return strictyaml.Decode(document, MaxDocumentBytes, &Document{})
}

// withZone returns a copy of doc with the zone changed, and the zone's path.
func withZone(doc *Document, name string, outOfService bool) (changed *Document, path string, ok bool) {
	next := *doc
	next.Regions = slices.Clone(doc.Regions)
	for i := range next.Regions {
		next.Regions[i].Zones = slices.Clone(next.Regions[i].Zones)
		for j := range next.Regions[i].Zones {
			if z := &next.Regions[i].Zones[j]; z.Name == name {
				z.OutOfService = outOfService
				return &next, fmt.Sprintf("regions[%d].zones[%d]", i, j), true
			}
		}
	}
	return nil, "", false
}

// Promote returns the text of a trial document as the document of another environment: only the value of
// its field environment changes.
func Promote(trial []byte, environment string) ([]byte, error) {
	if !namePattern.MatchString(environment) {
		return nil, errors.Errorf("promote: environment is %q, allowed are %s", environment, nameRule)
	}
	doc, err := Parse(trial)
	if err != nil {
		return nil, errors.Wrap(err, "promote: trial document")
	}
	want := *doc
	want.Environment = environment
	edited, err := decodeFile(trial).ReplaceScalar(trial, "environment", environment)
	if err != nil {
		return nil, errors.Wrapf(err, "promote to %s", environment)
	}
	return verifyEdit(edited, &want)
}

// verifyEdit parses edited text and checks that it is the wanted document.
func verifyEdit(edited []byte, want *Document) ([]byte, error) {
	got, err := Parse(edited)
	if err != nil {
		return nil, errors.Wrap(err, "edited document")
	}
	if !Equal(got, want) {
		return nil, errors.New("the document's layout cannot be edited; change it by hand and publish it")
	}
	return edited, nil
}

// CheckSuccessor returns the reasons why newer must not follow current in the same control stream, or nil. Both
// documents must be valid.
func CheckSuccessor(current, newer *Document) []string {
	var problems []string
	if current.Environment != newer.Environment {
		problems = append(problems, fmt.Sprintf("environment: is %q, this is environment %q",
			strings.TrimSpace(newer.Environment), current.Environment))
	}
	for _, r := range current.Regions {
		for _, z := range r.Zones {
			if _, _, kept := newer.FindZone(z.Name); !kept && !z.OutOfService {
				problems = append(problems, fmt.Sprintf("regions: zone %q is in service; take it out of service and "+
					"wait until it is drained before removing it", z.Name))
			}
		}
	}
	return problems
}
