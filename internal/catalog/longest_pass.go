package catalog

import "time"

// LongestPass returns the longest expected time between two events of a request
// that is generating output: one pass of a group whose slots are all in use and
// which processes a full chunk of prompt tokens in each step.
func (p *Pace) LongestPass(model *Model) time.Duration {
	step := float64(p.Step) + float64(p.Slots)*(float64(p.PerRequest)+p.contextThousands()*float64(p.PerThousand))
	promptTime := 0.0
	if p.ReadPerSecond > 0 {
		promptTime = float64(p.Chunk) / p.ReadPerSecond * float64(time.Second)
	}
	return time.Duration(float64(max(p.Stride, 1)) * (step + promptTime) * model.stepTimeFactor())
}

// PassTokens returns the maximum number of prompt tokens processed in one pass.
func (p *Pace) PassTokens() int { return max(p.Stride, 1) * p.Chunk }

// contextThousands returns the context length of an average request in units of 1,000
// tokens.
func (p *Pace) contextThousands() float64 { return (p.UsualPrompt + p.UsualAnswer) / 1000 }

// stepTimeFactor returns the step time factor of the model; 1 if none is configured.
func (m *Model) stepTimeFactor() float64 {
	if m.Pace <= 0 {
		return 1
	}
	return m.Pace
}
