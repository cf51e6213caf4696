// Package configcopy keeps a small copy of what the operators have published in a topic of the daemons' own. A configuration
// may be large and change often, so daemons behind narrow links can't all read every version of it. The copy is a base,
// compressed and divided into parts, and the change from the base to the newest version: a daemon that has the base reads
// only the newest change, however many versions it missed.
package configcopy

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"waxwingslip.example/external/keyedlog"
)

// Partition holds the copy.
var Partition = keyedlog.Partition{Topic: "keyed.config"}

// Keys of the records. Parts sort before the change, so that a list gives the base first.
const (
	partPrefix = "base/"
	changeKey  = "change"
)

// Sizes of records.
const (
	// partBytes is the size of a part, the most that is read again after a read is cut off.
	partBytes = 64 << 10
	// maxParts keeps the parts of one append below the limit of the store for one call.
	maxParts = 24
	// minRebaseBytes and rebaseShare decide when a new base is cheaper than to go on with changes to the former one: when
	// the change has more bytes than these, and more than this share of the compressed base.
	minRebaseBytes = 2 << 10
	rebaseShare    = 16
)

// Document is what the operators have published.
type Document struct {
	// Content is their configuration.
	Content []byte
	// Offset is the offset of the configuration's record in the control topic.
	Offset int64
	// ZonesOut are the availability zones that are out of service.
	ZonesOut []string
}

// partRecord is a part of a compressed base.
type partRecord struct {
	// Base identifies the base: it is the offset of the base's first record in the topic of the copy.
	Base  int64  `cbor:"1,keyasint"`
	Count int    `cbor:"2,keyasint"`
	Data  []byte `cbor:"3,keyasint"`
}

// changeRecord is the change from a base to the newest configuration.
type changeRecord struct {
	Base   int64 `cbor:"1,keyasint"`
	Offset int64 `cbor:"2,keyasint"`
	// Through is the offset in the control topic before which all records are taken into account.
	Through  int64    `cbor:"3,keyasint"`
	Data     []byte   `cbor:"4,keyasint"`
	ZonesOut []string `cbor:"5,keyasint,omitempty"`
	Format   int      `cbor:"6,keyasint"`
}

// Copy is what a daemon has read of the topic. The zero value has read nothing. It is not safe for concurrent use.
type Copy struct {
	// Format numbers the fields that the content of a document has. Copies of a lower format are not used, since daemons of
	// an earlier build leave out fields that they don't know.
	Format int

	baseID   int64
	parts    [][]byte // of the newest base; nil for parts that have not been read
	base     []byte   // content of the newest base, nil until all its parts have been read
	baseSize int      // compressed

	newest  Document
	through int64
	// pending is the newest change if it can't be decoded before more parts have been read.
	pending *changeRecord
}

// Newest returns the newest document, whose content is nil if there is none, and the offset in the control topic before
// which all records are taken into account.
func (c *Copy) Newest() (Document, int64) { return c.newest, c.through }

// Apply adds records of the topic. It leaves out those that can't be used and returns the error of the newest such record.
func (c *Copy) Apply(records []keyedlog.Record) error {
	var newest error
	for _, r := range records {
		if err := c.apply(r); err != nil {
			newest = errors.WithMessagef(err, "record %q at offset %d", r.Key, r.Offset)
		}
	}
	return newest
}

func (c *Copy) apply(r keyedlog.Record) error {
	if r.Value == nil {
		return nil
	}
	if number, isPart := strings.CutPrefix(r.Key, partPrefix); isPart {
		return c.applyPart(number, r.Value)
	}
	if r.Key != changeKey {
		return nil
	}
	var change changeRecord
	if err := cbor.Unmarshal(r.Value, &change); err != nil {
		return errors.Wrap(err, "decode change")
	}
	if change.Through > c.through && change.Format >= c.Format {
		c.pending = &change
	}
	return c.applyPending()
}

func (c *Copy) applyPart(number string, value []byte) error {
	var p partRecord
	if err := cbor.Unmarshal(value, &p); err != nil {
		return errors.Wrap(err, "decode part")
	}
	var n int
	if _, err := fmt.Sscanf(number, "%02d", &n); err != nil || n < 0 || n >= p.Count || p.Count > maxParts {
		return errors.Errorf("part %q of %d", number, p.Count)
	}
	if p.Base < c.baseID {
		return nil // of an earlier base that had more parts
	}
	if p.Base > c.baseID || len(c.parts) != p.Count {
		c.baseID, c.parts, c.base = p.Base, make([][]byte, p.Count), nil
	}
	c.parts[n] = p.Data
	for _, part := range c.parts {
		if part == nil {
			return nil
		}
	}
	compressed := bytes.Join(c.parts, nil)
	base, err := decompress(compressed, nil)
	if err != nil {
		return errors.Wrap(err, "decompress base")
	}
	c.base, c.baseSize = base, len(compressed)
	return c.applyPending()
}

// applyPending decodes the newest change once its base has been read.
func (c *Copy) applyPending() error {
	change := c.pending
	if change == nil || c.base == nil || change.Base != c.baseID {
		return nil
	}
	c.pending = nil
	if change.Offset != c.newest.Offset || c.newest.Content == nil {
		content, err := decompress(change.Data, c.base)
		if err != nil {
			return errors.Wrap(err, "decompress change")
		}
		c.newest.Content, c.newest.Offset = content, change.Offset
	}
	c.newest.ZonesOut, c.through = change.ZonesOut, change.Through
	return nil
}

// Update returns the records that make the copy hold a document and take all records of the control topic before
// through into account. They are to be appended at once, on condition that the topic ends at the offset at, up to which the
// copy has read it.
func (c *Copy) Update(doc Document, through, at int64) ([]keyedlog.Record, error) {
	change := changeRecord{Base: c.baseID, Offset: doc.Offset, Through: through, ZonesOut: doc.ZonesOut, Format: c.Format}
	if c.base != nil {
		var err error
		if change.Data, err = compress(doc.Content, c.base); err != nil {
			return nil, err
		}
		if len(change.Data) <= max(minRebaseBytes, c.baseSize/rebaseShare) {
			record, err := encode(changeKey, change)
			return []keyedlog.Record{record}, err
		}
	}
	change.Base = at
	records, err := baseRecords(doc.Content, at)
	if err != nil {
		return nil, err
	}
	if change.Data, err = compress(doc.Content, doc.Content); err != nil {
		return nil, err
	}
	record, err := encode(changeKey, change)
	return append(records, record), err
}

// baseRecords returns the parts of a base.
func baseRecords(content []byte, id int64) ([]keyedlog.Record, error) {
	compressed, err := compress(content, nil)
	if err != nil {
		return nil, err
	}
	count := (len(compressed) + partBytes - 1) / partBytes
	if count > maxParts {
		return nil, errors.Errorf("a configuration of %d bytes has %d when compressed, the limit is %d", len(content),
			len(compressed), maxParts*partBytes)
	}
	var records []keyedlog.Record
	for n := range count {
		data := compressed[n*partBytes : min((n+1)*partBytes, len(compressed))]
		record, err := encode(fmt.Sprintf("%s%02d", partPrefix, n), partRecord{id, count, data})
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

func encode(key string, v any) (keyedlog.Record, error) {
	value, err := cbor.Marshal(v)
	return keyedlog.Record{Key: key, Value: value}, errors.Wrapf(err, "encode %s", key)
}
