package account

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"waxwingslip.example/core/resource"
)

const secret = "secret-key"

// Guards against rows that come into force although they contradict each other, against refusals that do not name the
// field, and against keys in errors.
func TestInvalidRowsAreRefused(t *testing.T) {
	good := Row{Name: "a", Keys: []string{secret}, Weight: 1}
	for name, test := range map[string]struct {
		rows       []Row
		row, index int
		field      Field
	}{
		"name twice":             {[]Row{good, {Name: "a"}}, 1, 0, FieldName},
		"empty name":             {[]Row{{Keys: []string{secret}}}, 0, 0, FieldName},
		"key twice":              {[]Row{{Name: "a", Keys: []string{"x", secret, secret}}}, 0, 2, FieldKeys},
		"key of another account": {[]Row{good, {Name: "b", Keys: []string{"x", secret}}}, 1, 1, FieldKeys},
		"empty key":              {[]Row{{Name: "a", Keys: []string{""}}}, 0, 0, FieldKeys},
		"weight NaN":             {[]Row{good, {Name: "b", Weight: math.NaN()}}, 1, 0, FieldWeight},
		"weight infinite":        {[]Row{{Name: "b", Weight: math.Inf(1)}}, 0, 0, FieldWeight},
		"weight negative":        {[]Row{{Name: "b", Weight: -0.1}}, 0, 0, FieldWeight},
		"CPU negative":           {[]Row{{Name: "b", Limit: resource.Vector{MilliCPU: -1}}}, 0, 0, FieldLimitCPU},
		"memory negative":        {[]Row{{Name: "b", Limit: resource.Vector{MemoryMB: -1}}}, 0, 0, FieldLimitMemory},
		"accelerators negative":  {[]Row{{Name: "b", Limit: resource.Vector{Accelerators: -1}}}, 0, 0, FieldLimitAccelerators},
		"slots negative":         {[]Row{{Name: "b", Limit: resource.Vector{Slots: -1}}}, 0, 0, FieldLimitOther},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, err := New(test.rows)
			is.True(s == nil)
			var invalid *InvalidError
			is.True(errors.As(err, &invalid))
			is.Equal(*invalid, InvalidError{Row: test.row, Index: test.index, Field: test.field, Reason: invalid.Reason})
			is.True(!strings.Contains(err.Error(), secret))
		})
	}
}

// Guards against a key that gives another account or none, against keys that are kept, and against allocations in the
// handling of each request.
func TestByKey(t *testing.T) {
	is := is.New(t)
	s, err := New([]Row{{Name: "a", Keys: []string{secret, "second"}}, {Name: "b", Keys: []string{"third"}}})
	is.NoErr(err)
	for key, want := range map[string]*Account{secret: s.Account("a"), "second": s.Account("a"), "third": s.Account("b"),
		"": nil, "secret-ke": nil, "secret-key ": nil, "a": nil} {
		is.Equal(s.ByKey(key), want)
	}
	is.True((*Set)(nil).ByKey(secret) == nil)
	is.True(!strings.Contains(fmt.Sprintf("%+v", s), secret))
	long := strings.Repeat("k", 200)
	is.Equal(testing.AllocsPerRun(100, func() { s.ByKey(long); s.ByKey(secret) }), 0.0)
}

// Guards against callers that learn of jobs of other accounts.
func TestScope(t *testing.T) {
	is := is.New(t)
	is.True(Scope{}.Contains("a", "q"))
	is.True(Scope{Limited: true, Account: "a"}.Contains("a", "q"))
	is.True(Scope{Limited: true, Account: "a"}.Contains("", "q"))
	is.True(!Scope{Limited: true, Account: "a"}.Contains("b", "q"))
	is.True(!Scope{Limited: true}.Contains("b", "q"))
	is.True(Scope{Limited: true, Queue: "q"}.Contains("b", "q"))
	is.True(!Scope{Limited: true, Queue: "p"}.Contains("b", "q"))
}

func BenchmarkByKey(b *testing.B) {
	var rows []Row
	for i := range 20 {
		rows = append(rows, Row{Name: fmt.Sprint(i), Keys: []string{fmt.Sprintf("key-%032d", i), fmt.Sprintf("old-%032d", i)}})
	}
	s, err := New(rows)
	if err != nil {
		b.Fatal(err)
	}
	for name, key := range map[string]string{"known": rows[7].Keys[0], "unknown": strings.Repeat("x", 36)} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s.ByKey(key)
			}
		})
	}
}
