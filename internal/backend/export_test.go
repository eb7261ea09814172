package backend

// DisableKeyHiding leaves the idempotency key headers visible to net/http.
func (c *Client) DisableKeyHiding() { c.hideIdempotencyKeys = false }

// AllowReplays allows net/http to retry a request that it has already written.
func (c *Client) AllowReplays() { c.abortReplays = false }
