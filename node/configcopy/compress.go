package configcopy

import (
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

const (
	// minWindowBytes and maxWindowBytes limit the memory for compression.
	minWindowBytes = 64 << 10
	maxWindowBytes = 8 << 20
	// maxContentBytes limits the memory for one configuration.
	maxContentBytes = 16 << 20
	// dictionaryID marks data that were compressed with a base.
	dictionaryID = 1
)

// compress compresses data. With a base, it encodes how they differ from that.
func compress(data, base []byte) ([]byte, error) {
	// The window has to reach from the end of the data to the start of the base.
	window := minWindowBytes
	for window < len(data)+len(base) && window < maxWindowBytes {
		window *= 2
	}
	options := []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(window),
		zstd.WithEncoderCRC(true)}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, errors.Wrap(err, "start compression")
	}
	defer func() { _ = encoder.Close() }() // nothing is written to a stream
	return encoder.EncodeAll(data, nil), nil
}

// decompress returns the data that compress got, which had the same base. It returns an error if they are damaged.
func decompress(data, base []byte) ([]byte, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxContentBytes)}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, errors.Wrap(err, "start decompression")
	}
	defer decoder.Close()
	content, err := decoder.DecodeAll(data, nil)
	return content, errors.Wrap(err, "decompress")
}
