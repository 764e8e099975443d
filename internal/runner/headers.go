package runner

// The headers of requests to backend servers and agents, and of their answers.
const (
	HeaderRequest = "Lagoonmill-Request" // id of the attempt; a backend server echoes it
	HeaderOnce    = "Lagoonmill-Once"    // "yes" if the request must not run twice
	HeaderStarted = "Lagoonmill-Started" // "no" if the request was not passed to the backend server
	HeaderDigest  = "Content-Digest"     // RFC 9530, sha-256
	HeaderFree    = "Lagoonmill-Free"    // free slots at the agent after the answer
	HeaderClass   = "Lagoonmill-Class"
)

// The values of HeaderOnce and HeaderStarted.
const (
	Yes = "yes"
	No  = "no"
)
