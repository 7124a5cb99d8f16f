package settings

import "runtime/debug"

// exitCodes is the last part of the help text of every daemon.
const exitCodes = `
Exit codes:
  0  stopped in good order by SIGTERM or SIGINT
  1  an error, or calls were cut at the stop
  2  wrong settings; all of them are listed`

// Version returns the text of a program's --version.
func Version(program string) string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return program + " (unknown version)"
	}
	return program + " " + info.Main.Version + " " + info.GoVersion
}

// Description returns the first part of the help text.
func (Entry) Description() string {
	return "mangostage-entry takes callers' requests and runs their pipelines on the endpoints."
}

// Epilogue returns the last part of the help text.
func (Entry) Epilogue() string {
	return `Example:
  mangostage-entry --vm entry-1 --domain winterthur --platform http://10.0.0.1:7500 \
    --bundle-keys file:bundle-public.pem --fleet-key file:fleet.hex \
    --tls-cert entry-1.pem --tls-key entry-1-key.pem --tls-ca ca.pem
` + exitCodes
}

// Version returns the text of --version.
func (Entry) Version() string { return Version("mangostage-entry") }

// Description returns the first part of the help text.
func (Agent) Description() string {
	return "mangostage-agent runs beside one endpoint and is the only way to it."
}

// Epilogue returns the last part of the help text.
func (Agent) Epilogue() string {
	return `Example:
  mangostage-agent --vm vm-7 --domain winterthur --platform http://10.0.0.1:7500 \
    --endpoint catalogue-1 --pool catalogue --endpoint-url http://127.0.0.1:8000 \
    --bundle-keys file:bundle-public.pem --fleet-key file:fleet.hex \
    --tls-cert vm-7.pem --tls-key vm-7-key.pem --tls-ca ca.pem
` + exitCodes
}

// Version returns the text of --version.
func (Agent) Version() string { return Version("mangostage-agent") }
