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
	// logQueueLines is the number of log lines buffered while standard output blocks; more are dropped and counted.
	logQueueLines   = 2000
	logPollInterval = 20 * time.Millisecond
	// memoryLimitPercent is the soft memory limit of the Go runtime as a percentage of the VM's memory; near it the
	// garbage collector runs more often.
	memoryLimitPercent = 70
)

// serveHosted runs the daemon on the operators' platform and returns the exit code.
func serveHosted(path string, checkOnly bool) int {
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	cfg, err := hosted.LoadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if checkOnly {
		fmt.Println("settings are valid")
		return exitOK
	}
	if cfg.VM.MemoryMB > 0 {
		debug.SetMemoryLimit(cfg.VM.MemoryMB << 20 * memoryLimitPercent / 100)
	}
	var dropped func(int)
	out := diode.NewWriter(os.Stdout, logQueueLines, logPollInterval, func(n int) { dropped(n) })
	defer func() { _ = out.Close() }() // an error here cannot be logged any more
	log, err := telemetry.NewLogger(out, telemetry.LogConfig{Level: cfg.Log.Level, VM: cfg.Name, Zone: cfg.Zone})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	validateOnHangup(ctx, log, func() error {
		_, err := hosted.LoadSettings(path)
		return err
	})
	var advisorClient advisor.Advisor
	if cfg.Advice != "" {
		advisorClient = platform.NewAdvisorClient(cfg.Advice)
	}
	d := hosted.New(cfg, hosted.Dependencies{
		Store: platform.NewStore(cfg.Store.Address), Workers: platform.NewWorkers(), Advisor: advisorClient,
		Layout: hosted.Layout{
			Control:   keyedlog.Partition{Topic: platform.ControlTopic},
			Registry:  keyedlog.Partition{Topic: platform.RegistryTopic},
			ConfigKey: platform.ConfigKey, ZoneOutOfServicePrefix: platform.ZoneOutOfServicePrefix,
			DecodeConfig: platform.DecodeConfig,
			CopyConfig:   platform.CopyConfig, DecodeCopy: platform.DecodeCopy, CopyFormat: platform.CopyFormat,
		},
		DecodeWorker:  platform.DecodeWorker,
		Callers:       func(api jobqueue.JobAPI) http.Handler { return platform.NewIngress(api) },
		ReadinessPath: platform.ReadinessPath,
		Now:           boottime.Now,
	}, log)
	dropped = d.AddDroppedLogLines
	if err := d.Run(ctx); err != nil {
		log.Error().Err(err).Msg("daemon failed")
		return exitFailed
	}
	return exitOK
}
