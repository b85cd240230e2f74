package logstream

// Answers returns the number of reads and appends of this stream that the log
// has served. It does not increase while the log is unreachable.
func (s *Stream[F]) Answers() uint64 {
	return s.servedCalls.Load()
}
