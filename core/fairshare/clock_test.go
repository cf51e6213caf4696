package fairshare

import "testing"

// Guards against an account that counts as sending in excess for as long as one daemon's clock was ahead.
func TestMeterAfterClockAhead(t *testing.T) {
	m := NewMeter()
	start := int64(1_000_000)
	m.Exceeds("a", start, 2)
	m.Exceeds("a", start+600_000, 2) // accepted by a daemon whose clock is ahead
	exceeds := 0
	for i := range int64(600) { // half of the weight, for 10 minutes
		if m.Exceeds("a", start+i*1000, 2) {
			exceeds++
		}
	}
	if exceeds > 60 {
		t.Errorf("%d of 600 jobs are in excess although the account sends half of its weight", exceeds)
	}
}
