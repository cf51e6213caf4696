package placement

// Revision is the content of record.JobSpec.Revision for replicas of a service. Packed revisions are ordered
// by the configuration version first, so that a daemon with an older configuration can never replace the
// definition that a newer one admitted.
type Revision struct {
	// Version is the configuration version, below 2^39.
	Version int64
	// Generation changes when running replicas must be replaced, and not when only their number changes.
	Generation uint16
	// Step counts the admissions under one version.
	Step uint8
}

// Pack encodes r as a number.
func (r Revision) Pack() int64 {
	return r.Version<<24 | int64(r.Step)<<16 | int64(r.Generation)
}

// UnpackRevision decodes a packed revision.
func UnpackRevision(packed int64) Revision {
	return Revision{Version: packed >> 24, Step: uint8(packed >> 16), Generation: uint16(packed)}
}
