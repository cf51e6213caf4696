package ledger

import (
	"context"

	"github.com/pkg/errors"

	"waxwingslip.example/external/keyedlog"
)

// GetOrCreate returns the value of a key and retries until the context ends. If the key has no value, it stores the
// one that make returns. All callers get the same value. The partition must have few keys.
func GetOrCreate(ctx context.Context, store *TimedStore, p keyedlog.Partition, key string,
	make func() ([]byte, error)) ([]byte, error) {
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
		// After an error, reading the key again shows whether this append or another caller's took effect.
		_, err = store.Append(ctx, keyedlog.Append{Partition: p, At: &page.End,
			Records: []keyedlog.Record{{Key: key, Value: value}}})
		if err == nil {
			return value, nil
		}
		retry.Sleep(ctx)
	}
	return nil, errors.Wrapf(ctx.Err(), "get or create %s", key)
}
