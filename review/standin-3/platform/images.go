package main

import (
	"fmt"
	"time"
)

// Numbers of the images in use. A submission has stepsEach steps, each of another image.
const (
	stepsEach     = 4
	servingImages = 132
	fillingImages = 40
	usualServing  = 5
	usualFilling  = 9
	// burstInterval is the time between the submissions of the burst: 20 a second, where 9 a second are usual.
	burstInterval = 50 * time.Millisecond
)

// manyImages runs serving tasks of many images beside filling tasks of many images, and then hands in small submissions.
// Without the disruption, as many tasks run, of the few images that a site has.
func manyImages(e *environment, trouble bool) (bool, error) {
	const workers = 10
	if err := e.start(workers, func(n int) string { return fmt.Sprintf("i-94e29849%02x", n) }, nil); err != nil {
		return false, err
	}
	serving, filling := usualServing, usualFilling
	if trouble {
		serving, filling = servingImages, fillingImages
	}
	id := 1000
	submit := func(s taskSpec, images int, step func(n int) map[string]any) error {
		for n := 0; n < images; n += stepsEach {
			var steps []map[string]any
			for k := range stepsEach {
				st := step(n + k)
				st["cpu"], st["mem_mb"] = s.CPU, s.MemMB
				steps = append(steps, st)
			}
			time.Sleep(burstInterval)
			id++
			if err := e.submit(jobID(id), map[string]any{"spec": spec(s), "steps": steps}); err != nil {
				return err
			}
		}
		return nil
	}
	err := submit(taskSpec{Lasts: true, TailMs: 15, CPU: 500, MemMB: 1000}, servingImages, func(n int) map[string]any {
		return map[string]any{"count": 1, "long_running": true, "target_ms": 50,
			"image": fmt.Sprintf("registry.example/team-%03d/service:2026.11.%d", n%serving, n%serving%28+1)}
	})
	if err != nil {
		return false, err
	}
	batch := taskSpec{WorkMs: 100_000, CPU: 200, MemMB: 200, Fills: true}
	err = submit(batch, fillingImages, func(n int) map[string]any {
		return map[string]any{"count": workers, "fills": true, "max_per_server": 1, "estimate_ms": batch.WorkMs,
			"image": fmt.Sprintf("registry.example/batch/job-%03d:2026.11.%d", n%filling, n%filling%28+1)}
	})
	if err != nil {
		return false, err
	}
	ids, err := e.submitSmall(1, 14)
	if err != nil {
		return false, err
	}
	time.Sleep(finishTime)
	e.rec.printf("%d appends refused for their size", e.store.refused.Load())
	return e.allDone(ids), nil
}
