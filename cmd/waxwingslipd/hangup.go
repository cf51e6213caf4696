package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
)

// checkOnHangup checks the settings file whenever SIGHUP says that it has changed, until the context ends. Without it the
// signal would end the process. The daemon goes on with the settings that it started with: all of them are addresses and
// bounds that other parts of the process were built with.
func checkOnHangup(ctx context.Context, log zerolog.Logger, load func() error) {
	changed := make(chan os.Signal, 1)
	signal.Notify(changed, syscall.SIGHUP)
	go func() {
		defer signal.Stop(changed)
		for {
			select {
			case <-ctx.Done():
				return
			case <-changed:
			}
			if err := load(); err != nil {
				log.Error().Err(err).Msg("changed settings are not valid, the daemon would not start with them")
				continue
			}
			log.Info().Msg("changed settings are valid, they take effect at the next start")
		}
	}()
}
