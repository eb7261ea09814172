package httpcheck

import "net/http"

// Client returns a copy of client that returns only well-formed responses. A transport of another package is left as it is.
func Client(client *http.Client) *http.Client {
	checked := *client
	switch transport := client.Transport.(type) {
	case nil:
		checked.Transport = NewTransport(http.DefaultTransport.(*http.Transport))
	case *http.Transport:
		checked.Transport = NewTransport(transport)
	}
	return &checked
}
