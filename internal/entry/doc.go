// Package entry serves client connections. Server accepts a connection, clientConn reads its requests, Handler finds
// the route of each, forwarder sends it to backend servers and classifies the results, and clientConn writes the
// responses in the order of the requests.
//
// The requests of a connection are handled concurrently, even if a client pipelines them without waiting for responses.
// This, and the detection of clients that disconnect before the response, are the reasons for not using the connection
// handling of http.Server.
package entry
