package platformd

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"waxwingslip.example/external/directory"
)

const adminTimeout = 5 * time.Second

// Register adds a VM to the list of the platform at a base URL.
func Register(ctx context.Context, baseURL string, vm directory.VM) error {
	return SendAdminRequest(ctx, http.MethodPut, baseURL+"/admin/vms/"+url.PathEscape(vm.ID), vm)
}

// Unregister removes a VM from the list of the platform at a base URL.
func Unregister(ctx context.Context, baseURL, id string) error {
	return SendAdminRequest(ctx, http.MethodDelete, baseURL+"/admin/vms/"+url.PathEscape(id), nil)
}

// SendAdminRequest sends a request with a JSON body to an admin URL of a stand-in.
func SendAdminRequest(ctx context.Context, method, adminURL string, body any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	b, err := json.Marshal(body)
	if err != nil {
		return errors.Wrapf(err, "encode request for %s", adminURL)
	}
	req, err := http.NewRequestWithContext(ctx, method, adminURL, bytes.NewReader(b))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	req.Close = true // admin calls are rare, so no connection is kept open
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrapf(err, "%s", method)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1024))
		return errors.Errorf("%s %s: status %d: %s", method, adminURL, resp.StatusCode, bytes.TrimSpace(text))
	}
	return nil
}
