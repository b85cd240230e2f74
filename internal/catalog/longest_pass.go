package catalog

import "time"

// LongestPass returns the longest time between two events of a request that
// writes: one pass of a full group that reads a full chunk in each of its steps.
func (p *Pace) LongestPass(model *Model) time.Duration {
	step := float64(p.Step) + float64(p.Slots)*(float64(p.PerRequest)+p.thousands()*float64(p.PerThousand))
	read := 0.0
	if p.ReadPerSecond > 0 {
		read = float64(p.Chunk) / p.ReadPerSecond * float64(time.Second)
	}
	return time.Duration(float64(max(p.Stride, 1)) * (step + read) * model.factor())
}

// PassTokens returns the prompt tokens that one pass reads at most.
func (p *Pace) PassTokens() int { return max(p.Stride, 1) * p.Chunk }

// thousands returns the thousands of tokens of a usual request's context.
func (p *Pace) thousands() float64 { return (p.UsualPrompt + p.UsualAnswer) / 1000 }

// factor returns the factor on the times of a model's groups.
func (m *Model) factor() float64 {
	if m.Pace <= 0 {
		return 1
	}
	return m.Pace
}
