package platformd_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"waxwingslip.example/external/directory"
	"waxwingslip.example/external/fault"
	"waxwingslip.example/external/logstore"
	"waxwingslip.example/standin/platformd"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against admin paths that do not act on the fakes that serve the clients.
func TestAdminPaths(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	p, err := platformd.Start("127.0.0.1:0")
	is.NoErr(err)
	defer p.Close()
	log, dir := logstore.NewHTTPClient(p.URL()), directory.NewHTTPClient(p.URL())
	defer log.Close()
	defer dir.Close()

	vm := directory.VM{ID: "a/w 1", Role: directory.RoleEntry, Zone: "a", Address: "127.0.0.1:1", State: directory.StateLive}
	is.NoErr(platformd.Register(ctx, p.URL(), vm))
	l, err := dir.List(ctx, "a", "")
	is.NoErr(err)
	is.Equal(l.VMs, []directory.VM{vm})
	is.NoErr(platformd.Unregister(ctx, p.URL(), vm.ID))
	l, err = dir.List(ctx, "a", "")
	is.NoErr(err)
	is.Equal(len(l.VMs), 0)

	_, err = log.Append(ctx, "control/trial", [][]byte{{1}})
	is.NoErr(err)
	is.NoErr(platformd.SendAdminRequest(ctx, http.MethodPut, p.URL()+"/admin/faults/log", fault.Setting{Reject: true}))
	_, err = log.Append(ctx, "control/trial", [][]byte{{1}})
	is.True(errors.Is(err, logstore.ErrRejected))
	is.True(platformd.SendAdminRequest(ctx, http.MethodPut, p.URL()+"/admin/faults/log",
		map[string]bool{"dwon": true}) != nil)
}
