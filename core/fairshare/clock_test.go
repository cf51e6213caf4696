package fairshare

import "testing"

// Guards against an account that counts as sending in excess for as long as one daemon's clock was ahead.
func TestMeterAfterClockAhead(t *testing.T) {
	m := NewMeter()
	start := int64(1_000_000)
	m.Exceeds("a", start, 2, start)
	m.Exceeds("a", start+600_000, 2, start) // accepted by a daemon whose clock is ahead
	exceeds := 0
	for i := range int64(600) { // half of the weight, for 10 minutes
		if m.Exceeds("a", start+i*1000, 2, start+i*1000) {
			exceeds++
		}
	}
	if exceeds > 60 {
		t.Errorf("%d of 600 jobs are in excess although the account sends half of its weight", exceeds)
	}
}

// Guards against an account that counts as sending in excess for as long as the owner's own clock was ahead.
func TestMeterAfterClockSetBack(t *testing.T) {
	m := NewMeter()
	start := int64(1_000_000)
	m.Exceeds("a", start+600_000, 2, start+600_000)
	for i := range int64(600) { // half of the weight, for 10 minutes
		if m.Exceeds("a", start+i*1000, 2, start+i*1000) {
			t.Fatalf("job %d is in excess although the account sends half of its weight", i)
		}
	}
}

// Guards against jobs with times of acceptance that lie further and further ahead and gain tokens for time that has not passed.
func TestMeterGainsNothingAheadOfTheClock(t *testing.T) {
	m := NewMeter()
	owed := 0
	for i := range int64(1000) {
		if !m.Exceeds("a", 1_000_000+i*1000, 2, 1_000_000) {
			owed++
		}
	}
	if limit := int(burstSize(2)); owed != limit {
		t.Errorf("%d jobs are owed, want %d", owed, limit)
	}
}
