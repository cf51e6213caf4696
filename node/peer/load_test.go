package peer_test

import (
	"bytes"
	"context"
	"io"
	"testing"
	"time"

	"github.com/pkg/errors"

	"waxwingslip.example/node/peer"
)

// Guards against unread bodies that block all other calls on the connection.
func TestUnreadBodiesBlockNoCalls(t *testing.T) {
	p := connect(t, nil)
	p.server.Handle("big", func(context.Context, *peer.Request) (*peer.Response, error) {
		return &peer.Response{Body: io.NopCloser(bytes.NewReader(make([]byte, 1<<20)))}, nil
	})
	limited, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	var bodies []io.ReadCloser
	for range 100 {
		body, err := p.client.Stream(limited, p.address, "big", nil, nil, nil)
		p.NoErr(err)
		bodies = append(bodies, body)
	}
	p.NoErr(p.echo(limited, "x"))
	got, err := io.ReadAll(bodies[99])
	p.NoErr(err)
	p.Equal(len(got), 1<<20)
	for _, b := range bodies {
		p.NoErr(b.Close())
	}
	p.Equal(p.client.Counters.Active.Value(), int64(0))
}

// Guards against a caller that uses more streams than the limit.
func TestStreamLimit(t *testing.T) {
	p := connect(t, func(o *peer.ServerOptions) { o.MaxStreams = 1 })
	entered, release := make(chan struct{}), make(chan struct{})
	p.server.Handle("hold", func(context.Context, *peer.Request) (*peer.Response, error) {
		close(entered)
		<-release
		return nil, nil
	})
	done := make(chan error, 1)
	go func() { done <- p.client.Call(ctx, p.address, "hold", nil, nil) }()
	<-entered
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	p.True(errors.Is(p.echo(short, "x"), peer.ErrNotSent))
	close(release)
	p.NoErr(<-done)
	p.NoErr(p.echo(ctx, "x"))
}

// Guards against path measurements that are missing or in a wrong unit.
func TestPath(t *testing.T) {
	p := connect(t, nil)
	_, ok := p.client.Path(p.address)
	p.True(!ok)
	p.NoErr(p.echo(ctx, "x"))
	path, ok := p.client.Path(p.address)
	p.True(ok)
	p.True(path.SmoothedRTT > 0 && path.SmoothedRTT < 10*time.Second)
	p.True(path.PacketsSent > 0)
}

func BenchmarkCall(b *testing.B) {
	p := connect(b, nil)
	b.ReportAllocs()
	for b.Loop() {
		if err := p.echo(ctx, "x"); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkStreamOneMiBEachWay(b *testing.B) {
	p := connect(b, nil)
	body := randomBytes(1 << 20)
	b.SetBytes(2 << 20)
	for b.Loop() {
		r, err := p.client.Stream(ctx, p.address, "digest", nil, nil, bytes.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, r); err != nil {
			b.Fatal(err)
		}
		_ = r.Close()
	}
}
