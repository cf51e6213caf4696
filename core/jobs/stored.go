package jobs

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// EncodeProgress encodes progress to be stored, for this build and earlier ones.
func EncodeProgress(p *Progress) ([]byte, error) {
	stored := *p
	stored.BegunOrBound = p.Begun
	data, err := cbor.Marshal(&stored)
	return data, errors.Wrap(err, "encode progress")
}

// DecodeProgress decodes progress that any build stored.
func DecodeProgress(data []byte) (*Progress, error) {
	p := &Progress{}
	if err := cbor.Unmarshal(data, p); err != nil {
		return nil, errors.Wrap(err, "decode progress")
	}
	p.Begun = p.Begun || p.SetAside == "" && p.showsRun()
	return p, nil
}

// showsRun reports whether progress of an earlier build shows that a task has run. BegunOrBound does not. Runs that are
// still bound are confirmed by the next reports of their workers.
func (p *Progress) showsRun() bool {
	if p.Outcome == Completed || p.Outcome == Failed || p.Outcome == Unfinished && p.Next > len(p.Occurrences) {
		return true
	}
	for _, o := range p.Occurrences {
		if o != nil && o.showsRun() {
			return true
		}
	}
	return false
}

func (o *Occurrence) showsRun() bool {
	for _, tasks := range o.Steps {
		for i := range tasks {
			if tasks[i].Phase == Done || tasks[i].Failures > 0 || tasks[i].Checkpoint != "" {
				return true
			}
		}
	}
	return false
}
