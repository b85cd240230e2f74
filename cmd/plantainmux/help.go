package main

// longDescription is the introduction of the help and of the manual page.
const longDescription = `Collects, checks and publishes the configuration, and shows what the daemons say.

Exit codes: 0 success; 1 failure; 2 wrong usage; 3 files refused, nothing applied; 4 another configuration was put in force first, nothing changed; 5 outcome unknown, repeat the command to find out; 6 the log is out of reach, nothing published; 7 the compared configurations differ; 8 a daemon is out of reach, not ready or refuses its log; 9 no such order is kept; 10 the order is not unclear, nothing changed.`

// longHelp holds the long description of each command, by command name.
var longHelp = map[string]string{
	"collect":    "Finds every plantainmux.yaml below the given directories, takes given files as they are, checks the whole and prints it as one configuration.",
	"validate":   "Checks files as collect does and prints nothing of them. All that is refused is told with file, line, field and reason.",
	"diff":       "Compares a configuration with the one in force, or two files. Exit code 7 says that they differ.",
	"publish":    "Collects, checks and appends a configuration. It comes into force only if --base is the version in force; else the difference is told and nothing changes. A repeat of what is in force already succeeds.",
	"status":     "Asks each daemon for its version in force, the time that it took, and each group's members and condition. Tells first what is wrong, then each data centre. A daemon that cannot be reached does not hide the others. With --platform it asks daemons on a platform for evacuated data centres, cold endpoints, and the groups, demand and capacity of each model.",
	"order":      "Shows the orders that the log keeps, asked of any daemon, and settles unclear ones by hand. A settlement is recorded with its operator and time. A key settled as not run is closed: it never runs, and the caller is told to use a new one.",
	"reference":  "Lists every field with its unit, default and bounds.",
	"story":      "Reads log files of daemons, as many as there are, and prints the lines of a request and what the daemons learnt meanwhile of the groups and endpoints that it was sent to, in order of time.",
	"hash-key":   "Prints the SHA-256 of a team key. Without KEY the key is read from standard input, so that it stays out of the shell's history.",
	"completion": "Prints a script for bash: source <(plantainmux completion).",
	"man":        "Prints the manual page: plantainmux man | man -l -",
	"evidence":   "Reads the streams of the log and reports on each condition, with the records that break it. A breach ends the tool with exit code 1.",
}
