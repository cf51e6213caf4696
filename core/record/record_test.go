package record

import (
	"bytes"
	"reflect"
	"strings"
	"testing"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"waxwingslip.example/core/resource"
)

// samples returns one record of every kind with all fields set.
func samples() []Record {
	var out []Record
	for kind := range 256 {
		if t, ok := bodyTypes[Kind(kind)]; ok {
			v := reflect.New(t)
			setAllFields(v.Elem())
			out = append(out, New(uuid.UUID{byte(kind)}, v.Interface().(Body)))
		}
	}
	return out
}

func setAllFields(v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).Name != "_" {
				setAllFields(v.Field(i))
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		setAllFields(v.Index(0))
		setAllFields(v.Index(1))
	case reflect.String:
		v.SetString("text")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(7)
	case reflect.Uint8:
		v.SetUint(1)
	}
}

// Guards against a field that is lost or confused with another in the encoding, for instance because two fields
// have the same key.
func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, r := range samples() {
		b, err := Encode(r)
		is.NoErr(err)
		got, err := Decode(b)
		is.NoErr(err)
		is.Equal(got, r)
		again, err := Encode(got)
		is.NoErr(err)
		is.True(bytes.Equal(again, b))
	}
}

// Guards against growth of the records in the log budget, which allows 80 B per Bind and End.
func TestSizes(t *testing.T) {
	is := is.New(t)
	task := TaskID{Job: "recompute-20260301-0417", Index: 1234}
	run := Run{Task: task, Epoch: 3, Worker: "luzon-a-w0123"}
	for _, body := range []Body{
		&Bind{Task: task, Epoch: 3, Worker: "luzon-a-w0123"},
		&End{Owner: Owner{Member: "luzon-a-e1.5f3a", Epoch: 12}, Run: run, Outcome: OutcomeSucceeded},
	} {
		b, err := Encode(New(uuid.New(), body))
		is.NoErr(err)
		t.Logf("%T has %d bytes", body, len(b))
		is.True(len(b) <= 110)
	}
}

// Guards against accepting a record that is too large, of an unknown kind or malformed.
func TestDecodeRefuses(t *testing.T) {
	is := is.New(t)
	_, err := Encode(New(uuid.New(), &CancelJob{Job: strings.Repeat("x", MaxEncodedBytes)}))
	is.True(err != nil)
	for _, b := range [][]byte{
		nil, {0xf6}, make([]byte, MaxEncodedBytes+1),
		{0x83, 0x40, 0x01, 0xa0}, // id of length 0
		append(append([]byte{0x83, 0x50}, make([]byte, 16)...), 0x18, 0xfe, 0xa0), // kind 254
		append(append([]byte{0x83, 0x50}, make([]byte, 16)...), 0x03, 0x80),       // body of another type
		append(append([]byte{0x83, 0x50}, make([]byte, 16)...), 0x03, 0xa0, 0x00), // trailing byte
	} {
		_, err := Decode(b)
		is.True(err != nil)
	}
}

// Guards against a record that crashes every reader of a stream, and against one that two readers interpret
// differently because it changes when it is encoded again.
func FuzzDecode(f *testing.F) {
	for _, r := range samples() {
		b, err := Encode(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
		f.Add(b[:len(b)-1])
	}
	b, err := Encode(New(uuid.Nil, &Submit{Job: JobSpec{ID: "j", Size: resource.Vector{Slots: -1 << 63}}}))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := Decode(data)
		if err != nil {
			return
		}
		if r.Body == nil {
			t.Fatal("record without a body")
		}
		b, err := Encode(r)
		if err != nil {
			return // the input was a shorter form of the same content
		}
		again, err := Decode(b)
		if err != nil {
			t.Fatal(err)
		}
		if c, err := Encode(again); err != nil || !bytes.Equal(b, c) {
			t.Fatal("encoding changed", err)
		}
	})
}
