package announce

import (
	"errors"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"marjoramshore.example/fleet"
)

// Guards against an odd entry among the addresses of the nodes that is taken for a
// node: requests and beacons would go to an address that cannot be connected to, or
// a capacity out of range would draw all requests.
func TestOddAddressNamesNoNode(t *testing.T) {
	entry := func(fields string) []byte {
		return []byte(`{"node":"a","incarnation":"0","dc":"z","inbound":"10.0.0.1:8146","peer":"10.0.0.1:7380","service":"s"` + fields + `}`)
	}
	e, err := DecodeAddress("a", entry(`,"power":0.32,"link":1000,"state":1,"slots":900,"serial":77`))
	must.NoError(t, err)
	must.Eq(t, fleet.Entry{Node: "a", DataCentre: "z", InboundAddress: "10.0.0.1:8146", PeerAddress: "10.0.0.1:7380", Service: "s", CPUCores: 0.32, LinkMbps: 1000}, e,
		must.Sprint("the store holds addresses alone"))
	for _, spec := range [][]byte{
		nil, []byte("null"), []byte(`"a"`), []byte(`[]`), []byte(`{}`),
		entry(`,"inbound":"10.0.0.1:99999"`), entry(`,"peer":"10.0.0.1:0"`), entry(`,"peer":"10.0.0.1:-1"`), entry(`,"inbound":"10.0.0.1"`), entry(`,"inbound":":80"`), entry(`,"peer":7380`),
		entry(`,"power":1e400`), entry(`,"power":-1`), entry(`,"link":1e300`), entry(`,"serial":18446744073709551616`), entry(`,"slots":1e99`),
		entry(`,"node":"b"`), entry(`,"x":` + strings.Repeat(`[`, 30_000) + strings.Repeat(`]`, 30_000)),
	} {
		_, err := DecodeAddress("a", spec)
		var typed *Error
		must.True(t, errors.As(err, &typed), must.Sprintf("%.200s", spec))
	}
}
