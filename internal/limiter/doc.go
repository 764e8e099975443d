// Package limiter admits requests to an entry: urgent ones first, each workspace its share, and refuses early what
// would fail late.
package limiter
