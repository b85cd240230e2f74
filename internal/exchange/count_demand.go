package exchange

// countDemand counts a request for a group that its caller makes for the first time, whether or
// not it is served then. Repeats of refused requests would add up to a demand that does not exist,
// and so would streams that callers resume after an event.
func (x *Exchanger) countDemand(req *Request) {
	if x.Counter == nil || !req.Service.RanksRoutes || req.Late || req.LastEvent != "" || req.Service.Model(req.Model) == nil {
		return
	}
	prompt := req.PromptTokens
	if prompt <= 0 && req.Service.Performance != nil {
		prompt = int(req.Service.Performance.MeanPromptTokens)
	}
	x.Counter.Observe(req.Service.Name, req.Model, req.Priority, prompt, req.OutputTokens, req.Arrived)
}
