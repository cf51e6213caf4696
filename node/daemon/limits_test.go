package daemon

import (
	"context"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"waxwingslip.example/node/gateway"
)

type echoForwarder struct{ err error }

func (e echoForwarder) Forward(context.Context, string, *gateway.ForwardRequest) (*gateway.ForwardResponse, error) {
	if e.err != nil {
		return nil, e.err
	}
	return &gateway.ForwardResponse{Status: 200, Body: io.NopCloser(strings.NewReader("x"))}, nil
}

// Guards against a slot that is kept after a failure or released twice, and against a refusal after which the caller
// must assume that the request may have run.
func TestForwardLimit(t *testing.T) {
	is := is.New(t)
	f := newLimitedForwarder(echoForwarder{}, 1)
	first, err := f.Forward(t.Context(), "z", &gateway.ForwardRequest{})
	is.NoErr(err)
	_, err = f.Forward(t.Context(), "z", &gateway.ForwardRequest{})
	var notSent *gateway.NotSentError
	is.True(errors.As(err, &notSent))
	is.NoErr(first.Body.Close())
	is.NoErr(first.Body.Close())
	second, err := f.Forward(t.Context(), "z", &gateway.ForwardRequest{})
	is.NoErr(err)
	is.NoErr(second.Body.Close())

	f.Forwarder = echoForwarder{err: errors.New("failed")}
	_, err = f.Forward(t.Context(), "z", &gateway.ForwardRequest{})
	is.True(err != nil && !errors.As(err, &notSent))
	is.Equal(len(f.slots), 0)
}
