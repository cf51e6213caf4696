package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog/diode"

	"waxwingslip.example/external/advisor"
	"waxwingslip.example/external/jobqueue"
	"waxwingslip.example/external/keyedlog"
	"waxwingslip.example/node/boottime"
	"waxwingslip.example/node/hosted"
	"waxwingslip.example/node/telemetry"
	"waxwingslip.example/platform"
)

const (
	// logQueueLines are kept while standard output does not take them; more are dropped and counted.
	logQueueLines = 2000
	logPoll       = 20 * time.Millisecond
	// memoryLimitPercent of the VM's memory is where the collector works harder.
	memoryLimitPercent = 70
)

// serveHosted runs the daemon on the platform.
func serveHosted(path string, checkOnly bool) int {
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	set, err := hosted.LoadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if checkOnly {
		fmt.Println("settings are valid")
		return exitOK
	}
	if set.VM.MemoryMB > 0 {
		debug.SetMemoryLimit(set.VM.MemoryMB << 20 * memoryLimitPercent / 100)
	}
	var dropped func(int)
	out := diode.NewWriter(os.Stdout, logQueueLines, logPoll, func(n int) { dropped(n) })
	defer func() { _ = out.Close() }() // nobody is left to tell
	log, err := telemetry.NewLogger(out, telemetry.LogConfig{Level: set.Log.Level, VM: set.Name, Zone: set.Zone})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	checkOnHangup(ctx, log, func() error {
		_, err := hosted.LoadSettings(path)
		return err
	})
	var advice advisor.Advisor
	if set.Advice != "" {
		advice = platform.NewAdvice(set.Advice)
	}
	d := hosted.New(set, hosted.Outside{
		Store: platform.NewStore(set.Store.Address), Workers: platform.NewWorkers(), Advisor: advice,
		Layout: hosted.Layout{
			Control:   keyedlog.Partition{Topic: platform.ControlTopic},
			Registry:  keyedlog.Partition{Topic: platform.RegistryTopic},
			ConfigKey: platform.ConfigKey, EvacuatedPrefix: platform.EvacuatedPrefix, DecodeConfig: platform.DecodeConfig,
		},
		DecodeWorker:  platform.DecodeWorker,
		Callers:       func(i jobqueue.Intake) http.Handler { return platform.NewIngress(i) },
		ReadinessPath: platform.ReadinessPath,
		Now:           boottime.Now,
	}, log)
	dropped = d.LogLinesDropped
	if err := d.Run(ctx); err != nil {
		log.Error().Err(err).Msg("daemon failed")
		return exitFailed
	}
	return exitOK
}
