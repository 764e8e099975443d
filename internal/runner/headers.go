package runner

// The headers that travel with a request, and back.
const (
	HeaderRequest = "Lagoonmill-Request" // identity of the attempt; a backend server echoes it
	HeaderOnce    = "Lagoonmill-Once"    // "yes" where the request must not run twice
	HeaderStarted = "Lagoonmill-Started" // "no" where the request was not handed to the backend server
	HeaderDigest  = "Content-Digest"     // RFC 9530, sha-256
	HeaderFree    = "Lagoonmill-Free"    // slots free at the agent after the answer
	HeaderClass   = "Lagoonmill-Class"
)

// The values of HeaderOnce and HeaderStarted.
const (
	Yes = "yes"
	No  = "no"
)
