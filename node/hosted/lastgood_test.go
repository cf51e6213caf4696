package hosted

import (
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"waxwingslip.example/external/jobqueue"
	"waxwingslip.example/external/keyedlog"
	storefake "waxwingslip.example/external/keyedlog/fake"
)

// Guards against a daemon that starts while the newest manifest cannot be used, and has no configuration until the next one:
// it refuses all requests and starts no tasks, while the others go on with the last good version.
func TestLastGoodVersionAfterStart(t *testing.T) {
	is := is.New(t)
	layout := Layout{ConfigKey: "config", ZoneOutOfServicePrefix: "evacuate/", DecodeConfig: func(value []byte) (*jobqueue.Config, error) {
		if string(value) == "bad" {
			return nil, errors.New("tenants[0].weight is negative")
		}
		return &jobqueue.Config{Version: 1}, nil
	}}
	store := storefake.New().As("d")
	p := keyedlog.Partition{Topic: "control"}
	running := newControl(layout, zerolog.Nop())
	for _, value := range []string{"good", "bad"} {
		r := keyedlog.Record{Key: "config", Value: []byte(value)}
		_, err := store.Append(t.Context(), keyedlog.Append{Partition: p, Records: []keyedlog.Record{r}})
		is.NoErr(err)
		running.apply([]keyedlog.Record{r}, false)
	}
	is.True(running.Config() != nil)
	page, err := store.Newest(t.Context(), p, "")
	is.NoErr(err)
	started := newControl(layout, zerolog.Nop())
	started.apply(page.Records, true)
	is.True(started.Config() != nil)
}
