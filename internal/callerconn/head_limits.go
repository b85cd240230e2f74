package callerconn

import (
	"net/http"

	"github.com/plantainmux/plantainmux/internal/heldbytes"
)

// HeadLimits bound the heads of requests.
type HeadLimits struct {
	Bytes   func() int                   // of the largest one; 0: any. Up to 4 KB more may be read
	Account *heldbytes.Account           // of the memory that heads take while they are read and until their requests end
	Refusal func(status int) http.Header // fields of the answer to a head that is refused
}
