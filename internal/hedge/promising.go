package hedge

// Promising reports whether a target that is not silent may get the attempt that an action sends. live
// states that the target has sent something to some request since the attempt in progress fell silent.
//
// If most targets in use are silent, the cause is common to them, such as the network, this daemon or a
// pause of the service, and idle ones have only not shown it yet. All streams would move there, and most of
// them would be worse off.
func Promising(s State, action Action, live bool) bool {
	return live || action == Slow || !commonSilence(s)
}

func commonSilence(s State) bool { return s.BusySilent > 1 && 2*s.BusySilent > s.Busy }
