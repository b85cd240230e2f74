package logstream

// Answers returns the number of reads and appends of this stream that the log
// has served. It stands still while the log is away.
func (s *Stream[F]) Answers() uint64 {
	return s.answers.Load()
}
