package costs

// Traits is what is known of a request before it is sent that may predict its cost. Route
// is the name of the route. Account is the name of the client account, empty without one.
// Path and Query are hashes, 0 if the request has none, and BodyBytes is the length of the
// body, negative if unknown.
type Traits struct {
	Route     string
	Account   string
	Path      uint64
	Query     uint64
	BodyBytes int64
}
