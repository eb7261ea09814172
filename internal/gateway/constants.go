package gateway

import "time"

const (
	// DefaultTimeout is the deadline of a request without Plank-Timeout.
	DefaultTimeout = 5 * time.Second
	// MaxTimeout is the longest deadline that a caller may ask for.
	MaxTimeout = 30 * time.Second
	// MaxHeaderBytes bounds the header of a caller's request.
	MaxHeaderBytes = 64 << 10
	// MaxBodyBytes bounds the body of a caller's request.
	MaxBodyBytes = 8 << 20
	// bodyMemoryBytes bounds the memory for request bodies of one gateway.
	bodyMemoryBytes = 64 << 20
	// bufferedAnswerBytes is the size up to which an answer is read whole before it is passed on, so that a
	// slow caller does not hold a slot of the backend server.
	bufferedAnswerBytes = 256 << 10
	// maxHops bounds the gateways after the first one that a request passes.
	maxHops = 2
	// hopReserve is the time that the home leaves for its answer to reach the sender: zones are up to 1.5 ms apart,
	// regions farther.
	hopReserve = 20 * time.Millisecond
	// hopReserveShare bounds the reserve of short deadlines to a part of them.
	hopReserveShare = 4
	// holdInterval is the wait before a request without an owner or home is routed again.
	holdInterval = 20 * time.Millisecond
	// maxHold bounds the time that a request waits for an owner or home. Ownership is settled again within
	// 2 s of a loss.
	maxHold = 2500 * time.Millisecond
	// maxHeld bounds the requests of one gateway that wait for an owner or home.
	maxHeld = 4096
	// noOwnerRetryAfter is the advice to callers whose key has no owner at the moment.
	noOwnerRetryAfter = 2 * time.Second
	// maxActive bounds the requests of callers in progress. A request takes about 100 KB at most beside its body, so
	// that all of them stay below 1 GB.
	maxActive = 8192
	// overloadRetryAfter is the advice to callers that a gateway refuses because of maxActive.
	overloadRetryAfter = time.Second
	// answerWriteTimeout bounds the sending of an answer to a caller that reads slowly.
	answerWriteTimeout = 30 * time.Second
	// maxPathBytes bounds the path and query.
	maxPathBytes = 8 << 10
	// maxKeyBytes bounds keys, subscribers and request identities.
	maxKeyBytes = 512
)

// Headers of callers' requests.
const (
	HeaderKey        = "Plank-Key"
	HeaderSubscriber = "Plank-Subscriber"
	HeaderTimeout    = "Plank-Timeout"
	HeaderIdentity   = "Idempotency-Key"
	// HeaderAttempt counts the attempts of a caller, from 1. Without it a request can be a repeat.
	HeaderAttempt = "Plank-Attempt"
	// HeaderRequestID is set on each answer and names the request for "explain".
	HeaderRequestID = "Plank-Request-Id"
)

// firstAttempt is the value of HeaderAttempt on the first attempt.
const firstAttempt = "1"

// wakeDelay lies between the end of a request and that of its waiting reads. With a deadline in the past, Go 1.26.8
// crashes now and then when the race detector and the fake time of testing/synctest are on.
const wakeDelay = time.Millisecond

// soon returns the deadline that ends the waiting reads of a stream.
func soon() time.Time { return time.Now().Add(wakeDelay) }

const pathPrefix = "/v1/"
