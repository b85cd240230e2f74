package logstream

// ServedCalls returns the number of reads and appends of this stream that the log
// has served. It does not increase while the log is unreachable.
func (s *Stream[F]) ServedCalls() uint64 {
	return s.servedCalls.Load()
}
