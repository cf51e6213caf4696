// Command waxwingslipd is the daemon of an entry VM.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"waxwingslip.example/node/daemon"
	"waxwingslip.example/node/settings"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

func main() { os.Exit(run()) }

func run() int {
	path := flag.String("settings", "", "path of the YAML settings file")
	check := flag.Bool("check", false, "check the settings and exit")
	hosted := flag.Bool("hosted", false, "run on the operators' platform, with the settings that it provides")
	version := flag.Bool("version", false, "print the version and exit")
	flag.Parse()
	if *version {
		fmt.Println(daemon.Build)
		return exitOK
	}
	if *hosted {
		return serveHosted(*path, *check)
	}
	cfg, err := settings.Load(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if *check {
		fmt.Println("settings are valid")
		return exitOK
	}
	return serve(cfg, *path)
}

func serve(cfg *settings.Settings, path string) int {
	level, err := zerolog.ParseLevel(cfg.Log.Level)
	if err != nil {
		level = zerolog.InfoLevel
	}
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	validateOnHangup(ctx, log, func() error {
		_, err := settings.Load(path)
		return err
	})
	d, err := daemon.New(cfg, log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	// A supervisor reads the bound addresses from this line if the settings use port 0.
	_ = json.NewEncoder(os.Stdout).Encode(d.Addresses())
	if err := d.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return exitOK
}
