package devenv_test

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"waxwingslip.example/core/environment"
	"waxwingslip.example/core/resource"
	"waxwingslip.example/external/directory"
	"waxwingslip.example/external/worker"
	"waxwingslip.example/standin/devenv"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against workers that are listed with a wrong address, zone or capacity.
func TestListedWorkersRespond(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	capacity := resource.Vector{Slots: 8, Connections: 64}
	doc := &environment.Document{Regions: []environment.Region{
		{Name: "luzon", Zones: []environment.Zone{{Name: "luzon-a", Worker: capacity, Workers: 2}, {Name: "luzon-b", Worker: capacity, Workers: 1}}},
	}}
	env, err := devenv.Start(ctx, doc, devenv.Options{})
	is.NoErr(err)
	defer env.Close()
	dir, client := directory.NewHTTPClient(env.PlatformURL()), worker.NewHTTPClient()
	defer dir.Close()
	defer client.Close()
	l, err := dir.List(ctx, "luzon-a", "")
	is.NoErr(err)
	is.Equal(len(l.VMs), 2)
	for _, vm := range l.VMs {
		rep, err := client.Report(ctx, vm.Address)
		is.NoErr(err)
		is.Equal(rep.Worker, vm.ID)
		is.Equal(rep.Capacity, capacity)
	}
}

// Guards against a document of production size that starts thousands of listeners.
func TestTooManyWorkers(t *testing.T) {
	doc := &environment.Document{Regions: []environment.Region{{Zones: []environment.Zone{{Name: "a", Workers: 1400}}}}}
	_, err := devenv.Start(context.Background(), doc, devenv.Options{})
	is.New(t).True(err != nil)
}
