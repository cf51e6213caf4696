package ledger

import (
	"context"

	"github.com/pkg/errors"

	"waxwingslip.example/external/keyedlog"
)

// Ensure returns the value of a key, and sets it to what make returns if the key has none. All callers get the
// same value. The partition must have few keys.
func Ensure(ctx context.Context, store keyedlog.Store, p keyedlog.Partition, key string, make func() ([]byte, error)) ([]byte, error) {
	var retry Backoff
	for ctx.Err() == nil {
		page, err := store.Newest(ctx, p, "")
		if err != nil {
			retry.Sleep(ctx)
			continue
		}
		for _, r := range page.Records {
			if r.Key == key {
				return r.Value, nil
			}
		}
		value, err := make()
		if err != nil {
			retry.Sleep(ctx)
			continue
		}
		// Whether it is added or another caller was faster shows when the key is read again.
		_, err = store.Append(ctx, keyedlog.Append{Partition: p, At: &page.End,
			Records: []keyedlog.Record{{Key: key, Value: value}}})
		if err == nil {
			return value, nil
		}
		retry.Sleep(ctx)
	}
	return nil, errors.Wrapf(ctx.Err(), "ensure %s", key)
}
