package jobs

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a run of a gang that counts as several attempts because several members fail in it, in whatever order their ends
// become known and whether the owner changes between them.
func TestFailedGangRunCountsOnce(t *testing.T) {
	const members = 3
	for name, c := range map[string]struct {
		// ends are the ends of the members in the first run, and late those that are reported after all of them.
		ends []EndKind
		late []EndKind
		// failed is how many runs of the gang have failed.
		failed int
	}{
		"one":                   {ends: []EndKind{EndFailed, EndGangMemberEnded, EndGangMemberEnded}, failed: 1},
		"all":                   {ends: []EndKind{EndFailed, EndFailed, EndFailed}, failed: 1},
		"last":                  {ends: []EndKind{EndGangMemberEnded, EndFailed, EndFailed}, failed: 1},
		"lost after a failure":  {ends: []EndKind{EndFailed, EndLost, EndLost}, late: []EndKind{EndGangMemberEnded, EndFailed, EndFailed}, failed: 1},
		"lost before a failure": {ends: []EndKind{EndLost, EndLost, EndFailed}, late: []EndKind{EndFailed, EndFailed, EndGangMemberEnded}, failed: 1},
		"all lost":              {ends: []EndKind{EndLost, EndLost, EndLost}, late: []EndKind{EndFailed, EndFailed, EndFailed}, failed: 1},
		"lost with the worker":  {ends: []EndKind{EndLost, EndLeaseExpired, EndGangMemberEnded}},
	} {
		for _, next := range []string{"before the next run", "during the next run", "after the next run"} {
			t.Run(name+", late ends "+next, func(t *testing.T) {
				is := is.New(t)
				spec := newSpec(Step{Count: members, Gang: true})
				spec.MaxAttempts = 10
				j := newBegunJob(spec)
				handOver := func() {
					data, err := EncodeProgress(&j.Progress)
					is.NoErr(err)
					p, err := DecodeProgress(data)
					is.NoErr(err)
					is.NoErr(p.Validate(spec))
					j = &Job{Spec: spec, Progress: *p}
				}
				bind := func(run int64) {
					for i := range members {
						is.NoErr(j.Bind(taskID(0, 0, i), "w", run))
					}
				}
				late := func() {
					for i, kind := range c.late {
						j.LateEnd(taskID(0, 0, i), 1, kind, 0)
						handOver()
					}
				}
				bind(1)
				for i, kind := range c.ends {
					is.True(j.End(taskID(0, 0, i), 1, kind, "", 0))
					handOver()
				}
				if next == "before the next run" {
					late()
				}
				bind(2)
				if next == "during the next run" {
					late()
				}
				for i := range members {
					is.True(j.End(taskID(0, 0, i), 2, EndFailed, "", 0))
					handOver()
				}
				if next == "after the next run" {
					late()
				}
				is.Equal(j.failures(taskID(0, 0, 0)), c.failed+1)
				late() // reports are repeated until they are acknowledged
				is.Equal(j.failures(taskID(0, 0, 0)), c.failed+1)
				is.Equal(len(j.FailedGangRuns), 1)
			})
		}
	}
}

// Guards against a gang that goes on for ever: its attempts end as those of a single task do.
func TestGangFailsAfterItsAttempts(t *testing.T) {
	is := is.New(t)
	spec := newSpec(Step{Count: 4, Gang: true}, Step{Count: 2, Gang: true, After: []int{0}})
	spec.MaxAttempts = 3
	j := newBegunJob(spec)
	for run := int64(1); run <= 3; run++ {
		is.Equal(j.Outcome, Unfinished)
		for i := range 4 {
			is.NoErr(j.Bind(taskID(0, 0, i), "w", run))
		}
		for i := range 4 {
			j.End(taskID(0, 0, i), run, EndFailed, "", 0)
		}
	}
	is.Equal(j.State(), StateFailed)
}
