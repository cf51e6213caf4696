package forward

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against bodies that are changed by the encoding, and against a body truncated at any byte that is read as
// complete.
func TestChunksRoundTripAndTruncation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		body := bytes.Repeat(rapid.SliceOf(rapid.Byte()).Draw(t, "body"), rapid.SampledFrom([]int{1, 3000}).Draw(t, "times"))
		trailer := http.Header{}
		if rapid.Bool().Draw(t, "trailer") {
			trailer.Set("Sum", rapid.StringMatching(`[a-z]{0,20}`).Draw(t, "sum"))
		}
		encoded, err := io.ReadAll(&chunkEncoder{src: io.NopCloser(bytes.NewReader(body)),
			trailer: func() http.Header { return trailer }})
		is.NoErr(err)
		whole := &chunkDecoder{src: io.NopCloser(iotest.DataErrReader(bytes.NewReader(encoded)))}
		got, err := io.ReadAll(whole)
		is.NoErr(err)
		is.True(bytes.Equal(got, body))
		is.Equal(whole.trailerFields(), trailer)
		cut := rapid.IntRange(0, len(encoded)-1).Draw(t, "cut")
		_, err = io.ReadAll(&chunkDecoder{src: io.NopCloser(bytes.NewReader(encoded[:cut]))})
		is.True(err != nil)
		_, err = io.ReadAll(&chunkDecoder{src: io.NopCloser(bytes.NewReader(append(encoded, 0)))})
		is.True(err != nil)
	})
}

// Guards against requests to draining or unresponsive daemons while others can serve them.
func TestOrderOfCandidates(t *testing.T) {
	is := is.New(t)
	f := &Forwarder{shuffle: func(n int, swap func(i, j int)) {
		for i := range n / 2 {
			swap(i, n-1-i)
		}
	}}
	order := f.order([]candidate{{"drains", true, true}, {"silent", false, false}, {"x", true, false}, {"y", true, false}})
	is.Equal(order, []string{"y", "x", "silent"})
	is.Equal(f.order([]candidate{{"drains", true, true}}), []string{"drains"})
}
