package dispatch

// Outcome is what became of asking a dispatcher.
type Outcome struct {
	Asked  bool        // dispatchers are used for the request
	By     string      // name of the dispatcher; empty: none
	Answer Answer      // if Local is empty
	Local  LocalReason // why the daemon chooses by itself; empty: it does not
}
