// Package record defines the typed records of the control stream and the zone streams.
//
// A record is a command to a state machine: it takes effect only if the state machine accepts it in log order.
package record

import (
	"reflect"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// MaxEncodedBytes limits one encoded record.
const MaxEncodedBytes = 256 << 10

// Kind identifies the type of a record's body on the wire. Numbers are never reused.
type Kind uint8

// Body is the typed content of a record.
type Body interface {
	// Kind returns the wire number of the body's type.
	Kind() Kind
}

// Record is one entry of a stream.
type Record struct {
	// ID identifies the record; readers drop a second record with the same ID, so that a writer may append it again
	// after a lost response.
	ID uuid.UUID
	// Body is never nil in a decoded record.
	Body Body
}

// New returns a record with the given id and body.
func New(id uuid.UUID, body Body) Record { return Record{ID: id, Body: body} }

type wire struct {
	_    struct{} `cbor:",toarray"`
	ID   []byte
	Kind Kind
	Body cbor.RawMessage
}

var (
	encMode   = mustEncMode()
	decMode   = mustDecMode()
	bodyTypes = map[Kind]reflect.Type{}
)

func mustEncMode() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

// The limits on nesting and counts bound the memory that a malicious record can make a reader allocate.
func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  16,
		MaxArrayElements: 1 << 16,
		MaxMapPairs:      1 << 16,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

func register(bodies ...Body) {
	for _, b := range bodies {
		if _, dup := bodyTypes[b.Kind()]; dup {
			panic("record: kind registered twice")
		}
		bodyTypes[b.Kind()] = reflect.TypeOf(b).Elem()
	}
}

// Encode returns the wire form of r.
func Encode(r Record) ([]byte, error) {
	body, err := encMode.Marshal(r.Body)
	if err != nil {
		return nil, errors.Wrapf(err, "encode record kind %d", r.Body.Kind())
	}
	out, err := encMode.Marshal(wire{ID: r.ID[:], Kind: r.Body.Kind(), Body: body})
	if err != nil {
		return nil, errors.Wrapf(err, "encode record kind %d", r.Body.Kind())
	}
	if len(out) > MaxEncodedBytes {
		return nil, errors.Errorf("record kind %d has %d bytes, limit %d", r.Body.Kind(), len(out), MaxEncodedBytes)
	}
	return out, nil
}

// Decode parses the wire form of one record. The body is a pointer to its struct type.
func Decode(b []byte) (Record, error) {
	if len(b) > MaxEncodedBytes {
		return Record{}, errors.Errorf("record has %d bytes, limit %d", len(b), MaxEncodedBytes)
	}
	var w wire
	if err := decMode.Unmarshal(b, &w); err != nil {
		return Record{}, errors.Wrap(err, "decode record")
	}
	id, err := uuid.FromBytes(w.ID)
	if err != nil {
		return Record{}, errors.Wrap(err, "decode record id")
	}
	t, ok := bodyTypes[w.Kind]
	if !ok {
		return Record{}, errors.Errorf("decode record %s: unknown kind %d", id, w.Kind)
	}
	v := reflect.New(t)
	if err := decMode.Unmarshal(w.Body, v.Interface()); err != nil {
		return Record{}, errors.Wrapf(err, "decode record %s kind %d", id, w.Kind)
	}
	return Record{ID: id, Body: v.Interface().(Body)}, nil
}
