package standin

// Fault is a fault injected into the handling of a request.
type Fault int

// Faults.
const (
	// FaultNone handles the request correctly.
	FaultNone Fault = iota
	// FaultShed refuses the request as load shedding does, without executing it.
	FaultShed
	// FaultCloseBefore closes the connection without executing the request.
	FaultCloseBefore
	// FaultCloseAfter executes the request and closes the connection without a response.
	FaultCloseAfter
	// FaultCutHead executes the request and closes the connection within the response header.
	FaultCutHead
	// FaultCutBody executes the request and closes the connection within the response body.
	FaultCutBody
	// FaultCutChunked executes the request and closes the connection before the last chunk of a chunked response body.
	FaultCutChunked
	// FaultGarbage executes the request and responds with bytes that are not HTTP.
	FaultGarbage
	// FaultNoLength executes the request and responds without Content-Length, so that the end of the connection
	// delimits the body.
	FaultNoLength
	// FaultOtherID executes the request and responds with the ID of another request.
	FaultOtherID
	// FaultTwice executes the request and sends the response twice.
	FaultTwice
	// FaultSlowBody executes the request and sends the response body byte by byte with pauses.
	FaultSlowBody
	// FaultUnmarked executes the request and responds with status 503 without a refusal header.
	FaultUnmarked
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
