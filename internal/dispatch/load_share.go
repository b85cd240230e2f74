package dispatch

// LoadShare is the share of the slots in use that dispatchers aim at under overload. Their groups
// differ by a few requests only, so that it is above the 0.8 of daemons that choose by themselves. In
// trials of the simulation of the build farm's smaller model, 0.8, 0.9, 0.95 and 1.0 gave 0.87, 0.92,
// 0.95 and 0.97 of the capacity in time where the demand equals it. It is not 1, since at full slots
// each request too many waits for an answer to end.
const LoadShare = 0.95
