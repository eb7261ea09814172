package backend

// DisableHiding leaves the idempotency key headers visible to net/http.
func (c *Client) DisableHiding() { c.hideIdempotencyKeys = false }

// DisableAbort allows net/http to retry a request that it has already written.
func (c *Client) DisableAbort() { c.abortReplays = false }
