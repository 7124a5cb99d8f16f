package endpoint

import "github.com/mangostage/mangostage/kernel"

const protocolNamespace = "endpoint.protocol"

// Opener is implemented by protocol plug-ins. Open returns a client of the
// endpoint at baseURL.
type Opener interface {
	Open(baseURL string) (Protocol, error)
}

// New returns a client of the endpoint at baseURL, such as
// "http://127.0.0.1:8000", that speaks the named protocol. The protocol is the
// last part of a plug-in's ID in the namespace "endpoint.protocol".
func New(protocol, baseURL string) (Protocol, error) {
	opener, err := kernel.Load[Opener](kernel.ModuleID(protocolNamespace + "." + protocol))
	if err != nil {
		return nil, err
	}
	return opener.Open(baseURL)
}
