package admit

import "time"

// sampleWeight is the weight of a new sample in an exponential moving average.
const sampleWeight = 0.1

// serviceTime estimates the time that a request takes from the answers that passed through
// this daemon.
type serviceTime struct {
	perAnswer float64 // average time of an answer in nanoseconds
	perToken  float64 // average time per requested token in nanoseconds
}

func (s *serviceTime) observe(took time.Duration, maxTokens int) {
	s.perAnswer = movingAverage(s.perAnswer, float64(took))
	if maxTokens > 0 {
		s.perToken = movingAverage(s.perToken, float64(took)/float64(maxTokens))
	}
}

func movingAverage(average, sample float64) float64 {
	if average == 0 {
		return sample
	}
	return average + (sample-average)*sampleWeight
}

// mean returns the average time of an answer, or 0 if unknown.
func (s *serviceTime) mean() time.Duration { return time.Duration(s.perAnswer) }

// estimate returns the expected time of an answer of up to maxTokens, or 0 if unknown.
func (s *serviceTime) estimate(maxTokens int) time.Duration {
	if maxTokens > 0 && s.perToken > 0 {
		return time.Duration(s.perToken * float64(maxTokens))
	}
	return s.mean()
}
