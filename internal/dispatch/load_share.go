package dispatch

// LoadShare is the share of the slots in use that dispatchers aim at under overload. Their groups
// differ by a few requests only, so that it is above the 0.8 of daemons that choose by themselves. In the
// simulation of the build farm's smaller model, 0.8, 0.9, 0.95 and 1.0 give 0.88, 0.91, 0.94 and
// 0.97 of the capacity in time where the demand equals it; 0.05 is margin for news that is older than there.
const LoadShare = 0.95
