package logstore_test

import (
	"context"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"waxwingslip.example/external/fault"
	"waxwingslip.example/external/logstore"
	"waxwingslip.example/external/logstore/fake"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type contractCase struct {
	name string
	run  func(t *testing.T, is *is.I, log logstore.Store, backend *fake.Store)
}

var ctx = context.Background()

var contractCases = []contractCase{
	// Guards against offsets that do not start at 1 or that have gaps within or between batches.
	{"offsets", func(t *testing.T, is *is.I, log logstore.Store, _ *fake.Store) {
		first, err := log.Append(ctx, "zone/a b", [][]byte{[]byte("x"), {}})
		is.NoErr(err)
		is.Equal(first, int64(1))
		first, err = log.Append(ctx, "zone/a b", [][]byte{[]byte("z")})
		is.NoErr(err)
		is.Equal(first, int64(3))
		page, err := log.Read(ctx, "zone/a b", 2, 10, 0)
		is.NoErr(err)
		is.Equal(page.End, int64(4))
		is.Equal(len(page.Entries), 2)
		is.Equal(page.Entries[1], logstore.Entry{Offset: 3, Payload: []byte("z")})
	}},
	// Guards against batches of concurrent writers whose entries are interleaved.
	{"concurrent writers", func(t *testing.T, is *is.I, log logstore.Store, _ *fake.Store) {
		var wg sync.WaitGroup
		for w := range 8 {
			wg.Go(func() {
				for range 5 {
					if _, err := log.Append(ctx, "s", [][]byte{{byte(w)}, {byte(w)}}); err != nil {
						t.Error(err)
					}
				}
			})
		}
		wg.Wait()
		page, err := log.Read(ctx, "s", 1, 100, 0)
		is.NoErr(err)
		is.Equal(len(page.Entries), 80)
		for i := 0; i < 80; i += 2 {
			is.Equal(page.Entries[i].Payload, page.Entries[i+1].Payload)
		}
	}},
	// Guards against a long poll that misses an append or returns before there is one.
	{"long poll", func(t *testing.T, is *is.I, log logstore.Store, backend *fake.Store) {
		done := make(chan logstore.Page, 1)
		go func() {
			page, _ := log.Read(ctx, "s", 1, 10, 30*time.Second)
			done <- page
		}()
		_, err := backend.Append(ctx, "s", [][]byte{[]byte("x")})
		is.NoErr(err)
		is.Equal(len((<-done).Entries), 1)
		page, err := log.Read(ctx, "s", 2, 10, 5*time.Millisecond)
		is.NoErr(err)
		is.Equal(page, logstore.Page{First: 1, End: 2})
	}},
	// Guards against an expired offset that looks to a reader like an empty stream.
	{"expiry", func(t *testing.T, is *is.I, log logstore.Store, backend *fake.Store) {
		backend.SetRetention(fake.Retention{Entries: 2})
		_, err := log.Append(ctx, "s", [][]byte{{1}, {2}, {3}})
		is.NoErr(err)
		page, err := log.Read(ctx, "s", 1, 10, time.Second)
		is.True(errors.Is(err, logstore.ErrExpired))
		is.Equal(page, logstore.Page{First: 2, End: 4})
	}},
	// Guards against calls that exceed the limits and are partly carried out.
	{"limits", func(t *testing.T, is *is.I, log logstore.Store, backend *fake.Store) {
		for _, batch := range [][][]byte{nil, {make([]byte, logstore.MaxPayloadBytes+1)}, make([][]byte, logstore.MaxBatchEntries+1)} {
			_, err := log.Append(ctx, "s", batch)
			is.True(errors.Is(err, logstore.ErrRejected))
		}
		_, err := log.Read(ctx, "s", 1, 0, 0)
		is.True(errors.Is(err, logstore.ErrRejected))
		is.Equal(backend.Appends(), int64(0))
	}},
	// Guards against a page that exceeds the limit, and against a reader of large entries that makes no progress.
	{"big pages", func(t *testing.T, is *is.I, log logstore.Store, _ *fake.Store) {
		for range 20 {
			_, err := log.Append(ctx, "s", [][]byte{make([]byte, logstore.MaxPayloadBytes)})
			is.NoErr(err)
		}
		page, err := log.Read(ctx, "s", 1, 100, 0)
		is.NoErr(err)
		is.Equal(len(page.Entries), logstore.MaxPageBytes/logstore.MaxPayloadBytes)
		page, err = log.Read(ctx, "s", 17, 100, 0)
		is.NoErr(err)
		is.Equal(len(page.Entries), 4)
	}},
	// Guards against a call that outlives its context.
	{"cancelled", func(t *testing.T, is *is.I, log logstore.Store, _ *fake.Store) {
		short, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
		defer cancel()
		_, err := log.Read(short, "s", 1, 10, time.Minute)
		is.True(errors.Is(err, context.DeadlineExceeded))
	}},
}

// faultCases lists for each fault whether its error is a rejection and how many entries it leaves in the log.
var faultCases = []struct {
	name     string
	setting  fault.Setting
	rejected bool
	appended int64
}{
	{"down", fault.Setting{Down: true}, false, 0},
	{"rejecting", fault.Setting{Reject: true}, true, 0},
	{"answer lost", fault.Setting{LoseResponses: 1}, false, 1},
	{"slow", fault.Setting{DelayMs: 10_000}, false, 0},
	{"slow answer", fault.Setting{ResponseDelayMs: 10_000}, false, 1},
}

func forEachStore(t *testing.T, f func(t *testing.T, log logstore.Store, backend *fake.Store)) {
	t.Run("fake", func(t *testing.T) {
		backend := fake.New(nil)
		f(t, backend, backend)
	})
	t.Run("http", func(t *testing.T) {
		backend := fake.New(nil)
		srv := httptest.NewServer(logstore.NewHandler(backend))
		defer srv.Close()
		client := logstore.NewHTTPClient(srv.URL)
		defer client.Close()
		f(t, client, backend)
	})
}

func TestContract(t *testing.T) {
	for _, c := range contractCases {
		t.Run(c.name, func(t *testing.T) {
			forEachStore(t, func(t *testing.T, log logstore.Store, backend *fake.Store) {
				c.run(t, is.New(t), log, backend)
			})
		})
	}
}

// Guards against a fault that is reported as another one: records are lost if an unknown outcome is reported as a
// rejection.
func TestFaults(t *testing.T) {
	for _, c := range faultCases {
		t.Run(c.name, func(t *testing.T) {
			forEachStore(t, func(t *testing.T, log logstore.Store, backend *fake.Store) {
				is := is.New(t)
				backend.Faults.Set(c.setting)
				short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
				defer cancel()
				_, err := log.Append(short, "s", [][]byte{{1}})
				is.True(err != nil)
				is.Equal(errors.Is(err, logstore.ErrRejected), c.rejected)
				is.Equal(backend.Appends(), c.appended)
				backend.Faults.Set(fault.Setting{})
				_, err = log.Append(ctx, "s", [][]byte{{2}})
				is.NoErr(err)
			})
		})
	}
}

// Guards against a long poll that continues into an outage and then returns a result that looks current.
func TestOutageEndsLongPoll(t *testing.T) {
	is := is.New(t)
	backend := fake.New(nil)
	done := make(chan error, 1)
	go func() {
		_, err := backend.Read(ctx, "s", 1, 1, time.Minute)
		done <- err
	}()
	backend.Faults.Set(fault.Setting{Down: true})
	is.True(errors.Is(<-done, fault.ErrDown))
}
