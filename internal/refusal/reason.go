package refusal

// Reason is the machine-readable cause of a refusal. Each reason has a counter.
type Reason string

// Reasons of a refusal.
const (
	Unauthenticated  Reason = "unauthenticated"     // no known team key
	Malformed        Reason = "malformed"           // the request cannot be read or parsed
	TooLarge         Reason = "too_large"           // the request exceeds a size limit
	UnknownModel     Reason = "unknown_model"       // no such model, version or adapter
	UnknownService   Reason = "unknown_service"     // no such service or call
	NotReady         Reason = "not_ready"           // the daemon has no configuration yet
	NoCompleteGroup  Reason = "no_complete_group"   // no complete group serves the model
	TeamOverShare    Reason = "team_over_share"     // the team's queue is full
	Overloaded       Reason = "overloaded"          // the data centre's queue is full
	DeadlineTooShort Reason = "deadline_too_short"  // the request cannot finish before its deadline
	DeadlineExceeded Reason = "deadline_exceeded"   // the request's deadline has passed
	Draining         Reason = "draining"            // the daemon is stopping
	CrashSuspect     Reason = "crash_suspect"       // the request crashed endpoints before
	RetriesExhausted Reason = "retries_exhausted"   // the retry budget is spent or no endpoint is left
	EndpointBroke    Reason = "endpoint_broke"      // the endpoint failed after the request reached it
	EndpointRefused  Reason = "endpoint_refused"    // the endpoint itself refused the request
	LogUnavailable   Reason = "log_unavailable"     // the platform log, which an exclusive decision needs, is unavailable
	MissingKey       Reason = "missing_key"         // a non-idempotent call without an idempotency key
	KeyReused        Reason = "key_reused"          // the key belongs to another request body
	OrderInProgress  Reason = "order_in_progress"   // the order with this key is in progress
	OrderUnsettled   Reason = "order_unsettled"     // it is not known whether the order ran
	OrderClosed      Reason = "order_closed"        // an operator settled the order as not run
	AnswerNotKept    Reason = "answer_not_kept"     // the order ran, but its answer was not recorded
	CallerGone       Reason = "caller_gone"         // the caller closed its connection
	ServiceDown      Reason = "service_unavailable" // no endpoint of the service can be reached
	SlowReader       Reason = "slow_reader"         // the caller reads too slowly and its buffer is full
	Forbidden        Reason = "forbidden"           // the credential does not allow the call
)

// Reasons lists every reason, so that each has a counter.
var Reasons = []Reason{
	Unauthenticated, Malformed, TooLarge, UnknownModel, UnknownService, NotReady,
	NoCompleteGroup, TeamOverShare, Overloaded, DeadlineTooShort, DeadlineExceeded,
	Draining, CrashSuspect, RetriesExhausted, EndpointBroke, EndpointRefused,
	LogUnavailable, MissingKey, KeyReused, OrderInProgress, OrderUnsettled,
	OrderClosed, AnswerNotKept,
	CallerGone, ServiceDown, SlowReader, Forbidden,
}
