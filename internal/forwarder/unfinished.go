package forwarder

// logUnfinished logs what a drain has not ended in time, and the exit of the process will break off.
func (f *Forwarder) logUnfinished() {
	begun := 0
	for x := range f.calls {
		if x.headSent {
			begun++
		}
	}
	var unsent int64
	for s := range f.serverConns {
		unsent += s.conn.pending.Load()
		for _, x := range s.queue {
			unsent += int64(len(x.output))
		}
	}
	f.common.Logger.Warn("drain timeout expired, aborting the remaining calls", "calls", len(f.calls), "begun", begun,
		"connections", len(f.serverConns), "unsent-bytes", unsent)
}
