// Package invariant checks what must always hold, over what the stand-ins
// recorded: the records of a group stream, and what each engine was told and
// asked, and when. It looks at no daemon's opinion and shares no code with the
// fold.
package invariant
