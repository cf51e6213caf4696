package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
)

// validateOnHangup validates the settings file on every SIGHUP until ctx is done, and logs the result. Without this
// handler SIGHUP would terminate the process. The daemon keeps the settings it started with, because all of them are
// addresses and bounds that are fixed when the components of the process are constructed.
func validateOnHangup(ctx context.Context, log zerolog.Logger, loadSettings func() error) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		defer signal.Stop(hangups)
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
			}
			if err := loadSettings(); err != nil {
				log.Error().Err(err).Msg("changed settings are not valid, the daemon would not start with them")
				continue
			}
			log.Info().Msg("changed settings are valid, they take effect at the next start")
		}
	}()
}
