package configcopy

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"waxwingslip.example/external/keyedlog"
)

func routes(seed uint64, n int) []byte {
	random, buf := rand.New(rand.NewPCG(seed, 1)), bytes.Buffer{}
	for i := range n {
		fmt.Fprintf(&buf, `{"name":"route-%d","host":"%x.example","path_prefix":"/%x/","timeout_ms":20000,"service":"service-%d"}`+"\n",
			i, random.Uint32(), random.Uint64(), random.IntN(9))
	}
	return buf.Bytes()
}

// topic is the copy's topic: it keeps all records, and the newest of each key.
type topic struct {
	records []keyedlog.Record
}

func (t *topic) append(records []keyedlog.Record) {
	for _, r := range records {
		r.Offset = int64(len(t.records))
		t.records = append(t.records, r)
	}
}

func (t *topic) newest() []keyedlog.Record {
	var list []keyedlog.Record
	for n := 0; n < maxParts; n++ {
		list = append(list, t.newestOf(fmt.Sprintf("%s%02d", partPrefix, n))...)
	}
	return append(list, t.newestOf(changeKey)...)
}

func (t *topic) newestOf(key string) []keyedlog.Record {
	for i := len(t.records) - 1; i >= 0; i-- {
		if t.records[i].Key == key {
			return t.records[i : i+1]
		}
	}
	return nil
}

func (t *topic) update(is *is.I, c *Copy, doc Document, through int64) (bytes int) {
	at := int64(len(t.records))
	records, err := c.Update(doc, through, at)
	is.NoErr(err)
	t.append(records)
	is.NoErr(c.Apply(t.records[at:]))
	for _, r := range records {
		bytes += len(r.Value)
	}
	return bytes
}

// Guards against versions that each cost every daemon the size of the configuration.
func TestChangeOfLargeConfigurationIsSmall(t *testing.T) {
	is := is.New(t)
	var c Copy
	var topic topic
	first := routes(1, 1450)
	base := topic.update(is, &c, Document{Content: first, Offset: 10}, 11)
	changed := append(bytes.Clone(first), routes(2, 1)...)
	change := topic.update(is, &c, Document{Content: changed, Offset: 11}, 12)
	t.Logf("a configuration of %d bytes: base %d bytes, change of one route %d bytes", len(first), base, change)
	is.True(change < 1<<10)
	doc, through := c.Newest()
	is.True(bytes.Equal(doc.Content, changed))
	is.Equal(through, int64(12))
}

// Guards against a reader that gets another configuration than the one that was copied, however many versions it missed,
// and whether it follows the topic or lists it.
func TestReadersGetCopiedConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		var writer, follower, late Copy
		var topic topic
		content, read := routes(1, rapid.IntRange(1, 600).Draw(t, "routes")), 0
		for i := range rapid.IntRange(1, 12).Draw(t, "versions") {
			switch rapid.IntRange(0, 3).Draw(t, "change") {
			case 0:
				content = routes(uint64(i), rapid.IntRange(1, 900).Draw(t, "rewritten"))
			case 1:
				content = content[:rapid.IntRange(0, len(content)).Draw(t, "cut")]
			default:
				content = append(bytes.Clone(content), routes(uint64(i), rapid.IntRange(1, 40).Draw(t, "added"))...)
			}
			zones := rapid.SliceOfN(rapid.StringMatching("[a-c]"), 0, 2).Draw(t, "zones")
			topic.update(is, &writer, Document{content, int64(i), zones}, int64(i+1))
			if rapid.Bool().Draw(t, "follow") {
				is.NoErr(follower.Apply(topic.records[read:]))
				read = len(topic.records)
				doc, through := follower.Newest()
				is.True(bytes.Equal(doc.Content, content))
				is.True(slices.Equal(doc.ZonesOut, zones))
				is.Equal(through, int64(i+1))
			}
		}
		is.NoErr(late.Apply(topic.newest()))
		doc, _ := late.Newest()
		is.True(bytes.Equal(doc.Content, content))
	})
}

// Guards against a change that is decoded with another base than its own: a list is no snapshot, and may hold parts of
// two bases.
func TestChangeWaitsForItsBase(t *testing.T) {
	is := is.New(t)
	var writer, reader Copy
	var topic topic
	topic.update(is, &writer, Document{Content: routes(1, 12000), Offset: 1}, 2)
	old := len(topic.records)
	topic.update(is, &writer, Document{Content: routes(2, 12000), Offset: 2}, 3)
	is.True(old > 2) // several parts
	mixed := append([]keyedlog.Record{topic.records[0]}, topic.records[old+1:]...)
	is.NoErr(reader.Apply(mixed))
	_, through := reader.Newest()
	is.Equal(through, int64(0))
	is.NoErr(reader.Apply(topic.records[old : old+1]))
	doc, through := reader.Newest()
	is.True(bytes.Equal(doc.Content, routes(2, 12000)))
	is.Equal(through, int64(3))
}

// Guards against fields of a configuration that get lost, since a daemon of an earlier build copied it.
func TestCopyOfEarlierFormatIsNotUsed(t *testing.T) {
	is := is.New(t)
	earlier, later := Copy{Format: 1}, Copy{Format: 2}
	var topic topic
	topic.update(is, &earlier, Document{Content: routes(1, 20), Offset: 1}, 2)
	is.NoErr(later.Apply(topic.records))
	_, through := later.Newest()
	is.Equal(through, int64(0))
	topic.update(is, &later, Document{Content: routes(1, 20), Offset: 1}, 3)
	is.NoErr(earlier.Apply(topic.records))
	_, through = earlier.Newest()
	is.Equal(through, int64(3))
}

// BenchmarkCopy measures what a change of a large configuration costs the daemon that copies it and one that reads it.
func BenchmarkCopy(b *testing.B) {
	is := is.New(b)
	var writer Copy
	var topic topic
	content := routes(1, 1450)
	topic.update(is, &writer, Document{Content: content, Offset: 1}, 2)
	changed := append(bytes.Clone(content), routes(2, 1)...)
	records, err := writer.Update(Document{Content: changed, Offset: 2}, 3, int64(len(topic.records)))
	is.NoErr(err)
	b.Run("store", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = writer.Update(Document{Content: changed, Offset: 2}, 3, 2)
		}
	})
	b.Run("read", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			reader := writer
			is.NoErr(reader.Apply(records))
		}
	})
}

// Guards against records of other writers, or damaged ones, that end the daemon or replace the configuration.
func FuzzApply(f *testing.F) {
	is := is.New(f)
	var writer Copy
	var topic topic
	topic.update(is, &writer, Document{Content: routes(1, 20), Offset: 1}, 2)
	for _, r := range topic.records {
		f.Add(r.Key, r.Value)
	}
	f.Add("base/99", []byte{})
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		var c Copy
		_ = c.Apply(topic.records)
		_ = c.Apply([]keyedlog.Record{{Key: key, Value: value}})
		doc, _ := c.Newest()
		if !bytes.Equal(doc.Content, routes(1, 20)) && key != changeKey {
			t.Fatalf("record %q replaced the configuration", key)
		}
	})
}
