package standin

// Fault is what goes wrong with one request.
type Fault int

// Faults.
const (
	// FaultNone answers as it should.
	FaultNone Fault = iota
	// FaultShed refuses the request before running it.
	FaultShed
	// FaultCloseBeforeExecution closes the connection without running the request.
	FaultCloseBeforeExecution
	// FaultCloseAfterExecution runs the request and closes the connection without an answer.
	FaultCloseAfterExecution
	// FaultTruncatedHeader runs the request and closes the connection within the head of the answer.
	FaultTruncatedHeader
	// FaultTruncatedBody runs the request and closes the connection within the body of the answer.
	FaultTruncatedBody
	// FaultTruncatedChunkedBody is FaultCutBody for an answer in chunks.
	FaultTruncatedChunkedBody
	// FaultInvalidHTTP runs the request and answers with bytes that are not HTTP.
	FaultInvalidHTTP
	// FaultNoContentLength runs the request and answers without a length, so that the body ends with the connection.
	FaultNoContentLength
	// FaultWrongRequestID runs the request and answers with the id of another request.
	FaultWrongRequestID
	// FaultDuplicateResponse runs the request and sends the answer twice.
	FaultDuplicateResponse
	// FaultSlowBody runs the request and sends the body in pieces with pauses.
	FaultSlowBody
	// FaultUnmarked503 runs the request and answers 503 without a refusal.
	FaultUnmarked503
	faultCount
)

// FaultCount is the number of faults, with FaultNone.
const FaultCount = int(faultCount)

var faultNames = [faultCount]string{
	"none", "shed", "close-before", "close-after", "cut-head", "cut-body", "cut-chunked", "garbage", "no-length",
	"other-id", "twice", "slow-body", "unmarked-503",
}

// String returns the name of the fault.
func (f Fault) String() string {
	if f < 0 || f >= faultCount {
		return "unknown"
	}
	return faultNames[f]
}
