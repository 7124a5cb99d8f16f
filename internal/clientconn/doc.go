// Package clientconn accepts the connections of an HTTP server's clients. It closes them without
// losing requests, lets no unfinished answer look whole, and bounds what they take of the process:
// the length of heads, the time for heads and without a request, the number of connections and
// the memory of requests. Package intake decides which connection ends when there is no room.
package clientconn
