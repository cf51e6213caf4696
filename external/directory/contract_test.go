package directory_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"waxwingslip.example/external/directory"
	"waxwingslip.example/external/directory/fake"
	"waxwingslip.example/external/fault"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var ctx = context.Background()

func vm(id, zone string) directory.VM {
	return directory.VM{ID: id, Role: directory.RoleWorker, Zone: zone, Address: "127.0.0.1:1", State: directory.StateLive}
}

func ids(l directory.Listing) []string {
	out := []string{}
	for _, v := range l.VMs {
		out = append(out, v.ID)
	}
	return out
}

func forEachDirectory(t *testing.T, f func(is *is.I, dir directory.Directory, backend *fake.Directory)) {
	t.Run("fake", func(t *testing.T) {
		backend := fake.New(nil)
		f(is.New(t), backend, backend)
	})
	t.Run("http", func(t *testing.T) {
		backend := fake.New(nil)
		srv := httptest.NewServer(directory.NewHandler(backend))
		defer srv.Close()
		client := directory.NewHTTPClient(srv.URL)
		defer client.Close()
		f(is.New(t), client, backend)
	})
}

// Guards against a list that has VMs of another zone and against an unchanged list that is sent again.
func TestContract(t *testing.T) {
	forEachDirectory(t, func(is *is.I, dir directory.Directory, backend *fake.Directory) {
		backend.Put(vm("w2", "a"))
		backend.Put(vm("w1", "a"))
		backend.Put(vm("w3", "b"))
		l, err := dir.List(ctx, "a", "")
		is.NoErr(err)
		is.Equal(ids(l), []string{"w1", "w2"})
		is.Equal(l.VMs[0], vm("w1", "a"))
		unchanged, err := dir.List(ctx, "a", l.Version)
		is.NoErr(err)
		is.Equal(unchanged, directory.Listing{Version: l.Version})
		is.True(backend.SetState("w1", directory.StateLeaving))
		changed, err := dir.List(ctx, "a", l.Version)
		is.NoErr(err)
		is.Equal(changed.VMs[0].State, directory.StateLeaving)
		all, err := dir.List(ctx, "", "")
		is.NoErr(err)
		is.Equal(ids(all), []string{"w1", "w2", "w3"})
	})
}

// Guards against an outage that is reported as an empty list.
func TestFaults(t *testing.T) {
	for name, setting := range map[string]fault.Setting{
		"down": {Down: true}, "rejecting": {Reject: true}, "answer lost": {LoseResponses: 1}, "slow": {DelayMs: 10_000},
	} {
		t.Run(name, func(t *testing.T) {
			forEachDirectory(t, func(is *is.I, dir directory.Directory, backend *fake.Directory) {
				backend.Faults.Set(setting)
				short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
				defer cancel()
				_, err := dir.List(short, "", "")
				is.True(err != nil)
				backend.Faults.Set(fault.Setting{})
				_, err = dir.List(ctx, "", "")
				is.NoErr(err)
			})
		})
	}
}

// Guards against distortions without effect, which would invalidate the tests that use them.
func TestDistortions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := fake.New(time.Now)
		list := func() []string {
			l, err := d.List(ctx, "", "")
			is.NoErr(err)
			return ids(l)
		}
		d.Put(vm("w1", "a"))
		d.Distort(fake.Distortion{LateMs: 3000})
		time.Sleep(5 * time.Second)
		d.Put(vm("w2", "a"))
		is.Equal(list(), []string{"w1"})
		time.Sleep(3 * time.Second)
		is.Equal(list(), []string{"w1", "w2"})
		d.Distort(fake.Distortion{Hidden: []string{"w1"}, Extra: []directory.VM{vm("ghost", "a")}})
		is.Equal(list(), []string{"ghost", "w2"})
		d.Distort(fake.Distortion{Flapping: []string{"w2"}, FlapMs: 1000})
		is.Equal(list(), []string{"w1", "w2"}) // 8 s after the start
		time.Sleep(time.Second)
		is.Equal(list(), []string{"w1"})
	})
}
