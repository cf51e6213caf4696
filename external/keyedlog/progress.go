package keyedlog

import "context"

type progressKey struct{}

// WithProgress returns a context whose calls to a store pass the number of bytes of their responses to f as they arrive.
// F is called by the goroutine of the call.
func WithProgress(ctx context.Context, f func(bytes int)) context.Context {
	return context.WithValue(ctx, progressKey{}, f)
}

// ReportProgress is called by stores for each part of a response.
func ReportProgress(ctx context.Context, bytes int) {
	if f, ok := ctx.Value(progressKey{}).(func(int)); ok {
		f(bytes)
	}
}
