package standin

// Fault is a fault injected into the handling of a request.
type Fault int

// Faults.
const (
	// FaultNone handles the request correctly.
	FaultNone Fault = iota
	// FaultShed refuses the request as load shedding does, without executing it.
	FaultShed
	// FaultCloseBeforeExecution closes the connection without executing the request.
	FaultCloseBeforeExecution
	// FaultCloseAfterExecution executes the request and closes the connection without a response.
	FaultCloseAfterExecution
	// FaultTruncatedHeader executes the request and closes the connection within the response header.
	FaultTruncatedHeader
	// FaultTruncatedBody executes the request and closes the connection within the response body.
	FaultTruncatedBody
	// FaultTruncatedChunkedBody executes the request and closes the connection before the last chunk of a chunked
	// response body.
	FaultTruncatedChunkedBody
	// FaultInvalidHTTP executes the request and responds with bytes that are not HTTP.
	FaultInvalidHTTP
	// FaultNoContentLength executes the request and responds without Content-Length, so that the end of the connection
	// delimits the body.
	FaultNoContentLength
	// FaultWrongRequestID executes the request and responds with the ID of another request.
	FaultWrongRequestID
	// FaultDuplicateResponse executes the request and sends the response twice.
	FaultDuplicateResponse
	// FaultSlowBody executes the request and sends the response body byte by byte with pauses.
	FaultSlowBody
	// FaultUnmarked503 executes the request and responds with status 503 without a refusal header.
	FaultUnmarked503
	faultCount
)

// FaultCount is the number of faults, including FaultNone.
const FaultCount = int(faultCount)

var faultNames = [faultCount]string{
	"none", "shed", "close-before", "close-after", "cut-head", "cut-body", "cut-chunked", "garbage", "no-length",
	"other-id", "twice", "slow-body", "unmarked-503",
}

// String implements fmt.Stringer.
func (f Fault) String() string {
	if f < 0 || f >= faultCount {
		return "unknown"
	}
	return faultNames[f]
}
