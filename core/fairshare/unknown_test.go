package fairshare

import (
	"fmt"
	"testing"
)

// Guards against several accounts that are not in the configuration and get the share of one each.
func TestUnknownAccountsShareAsOne(t *testing.T) {
	var jobs []Job
	for _, name := range []string{"a", "", "gone1", "gone2", "gone3"} {
		for i := range 20 {
			jobs = append(jobs, Job{Flow: Flow{Account: name}, ID: fmt.Sprint(name, "-", i), Work: 1000})
		}
	}
	known := 0
	for _, i := range Order(jobs, testWeight, nil, notAgedTurnMs)[:20] {
		if jobs[i].Account == "a" {
			known++
		}
	}
	if known < 9 {
		t.Errorf("%d of the first 20 places are the known account's, want half", known)
	}
}
