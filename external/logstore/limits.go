package logstore

import (
	"github.com/pkg/errors"

	"waxwingslip.example/core/record"
)

// Limits of a Store.
const (
	// MaxPayloadBytes limits the payload of one entry.
	MaxPayloadBytes = record.MaxEncodedBytes
	// MaxBatchEntries limits the number of entries of one Append.
	MaxBatchEntries = 4096
	// MaxBatchBytes limits the payloads of one Append in total.
	MaxBatchBytes = 4 << 20
	// MaxPageBytes limits the payloads of one Page in total; a Read returns fewer entries than requested instead of
	// exceeding it.
	MaxPageBytes = 4 << 20
	// MaxNameBytes limits the name of a stream.
	MaxNameBytes = 128
)

// CheckBatch returns an error that wraps ErrRejected if an Append exceeds a limit.
func CheckBatch(stream string, payloads [][]byte) error {
	if stream == "" || len(stream) > MaxNameBytes {
		return errors.Wrapf(ErrRejected, "stream name has %d bytes, allowed 1 to %d", len(stream), MaxNameBytes)
	}
	if len(payloads) == 0 || len(payloads) > MaxBatchEntries {
		return errors.Wrapf(ErrRejected, "append of %d entries, allowed 1 to %d", len(payloads), MaxBatchEntries)
	}
	total := 0
	for i, p := range payloads {
		if len(p) > MaxPayloadBytes {
			return errors.Wrapf(ErrRejected, "entry %d has %d bytes, limit %d", i, len(p), MaxPayloadBytes)
		}
		total += len(p)
	}
	if total > MaxBatchBytes {
		return errors.Wrapf(ErrRejected, "append has %d bytes, limit %d", total, MaxBatchBytes)
	}
	return nil
}
