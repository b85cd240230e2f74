package forward

// Message is the type of the answers to a forwarded exchange, for specs of their form.
type Message = message
