package gateway

import "time"

const (
	// DefaultTimeout is the timeout of a request without a Plank-Timeout header.
	DefaultTimeout = 5 * time.Second
	// MaxTimeout is the longest timeout that a client may request.
	MaxTimeout = 30 * time.Second
	// MaxHeaderBytes limits the size of a client's request header.
	MaxHeaderBytes = 64 << 10
	// MaxBodyBytes limits the size of a client's request body.
	MaxBodyBytes = 8 << 20
	// bodyMemoryBytes limits the memory that a gateway uses for the request bodies of clients.
	bodyMemoryBytes = 64 << 20
	// maxBufferedResponseBytes is the size below which a response is buffered completely before it is sent on, so
	// that a slow client does not occupy a slot of the backend server.
	maxBufferedResponseBytes = 256 << 10
	// maxHops limits how many times a request is forwarded between gateways.
	maxHops = 2
	// replyTimeReserve is how long before the deadline of the sending gateway a forwarded request is ended, so that
	// the response still arrives in time. Zones are up to 1.5 ms apart, regions farther.
	replyTimeReserve = 20 * time.Millisecond
	// replyTimeReserveDivisor limits the reserve to this fraction of the remaining time, for short deadlines.
	replyTimeReserveDivisor = 4
	// retryInterval is the delay before a request is routed again, for instance because it had no owner or home
	// gateway.
	retryInterval = 20 * time.Millisecond
	// maxRetryWait limits the total time that a request waits between attempts. It exceeds the 2 s within which
	// ownership is re-established after a failure.
	maxRetryWait = 2500 * time.Millisecond
	// maxWaitingRetries limits the requests of one gateway that wait for their next attempt at the same time.
	maxWaitingRetries = 4096
	// unavailableRetryAfter is the Retry-After value if there is no owner, home gateway or backend server at the
	// moment.
	unavailableRetryAfter = 2 * time.Second
	// maxInFlightRequests is the number of in-flight requests above which new requests of clients are refused. A
	// request needs at most about 100 KB in addition to its body, so that all of them stay below 1 GB.
	maxInFlightRequests = 8192
	// overloadRetryAfter is the Retry-After value of requests refused because of maxInFlightRequests.
	overloadRetryAfter = time.Second
	// responseWriteTimeout limits the time to write a response to a slow client.
	responseWriteTimeout = 30 * time.Second
	// maxPathBytes limits the combined length of path and query.
	maxPathBytes = 8 << 10
	// maxIdentifierBytes limits the length of each key, subscriber and idempotency key.
	maxIdentifierBytes = 512
)

// Headers that clients set or receive.
const (
	HeaderKey            = "Plank-Key"
	HeaderSubscriber     = "Plank-Subscriber"
	HeaderTimeout        = "Plank-Timeout"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderAttempt counts how often the client has sent the request, starting at 1. A request without it may be a
	// retry.
	HeaderAttempt = "Plank-Attempt"
	// HeaderRequestID is set on responses and identifies the request for the explain command.
	HeaderRequestID = "Plank-Request-Id"
)

// firstAttempt is the value of HeaderAttempt in a request that the client has never sent before.
const firstAttempt = "1"

// abortDelay is the delay after which pending reads and writes of a finished or canceled request fail. It must be
// positive: with a connection deadline in the past, Go 1.26.8 occasionally crashes if both the race detector and the
// fake clock of testing/synctest are in use.
const abortDelay = time.Millisecond

// abortDeadline returns the connection deadline that aborts the pending reads and writes of a stream.
func abortDeadline() time.Time { return time.Now().Add(abortDelay) }

const pathPrefix = "/v1/"
