package platform_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cottonlanding/cottonlanding/internal/golden/transcriber"
	"github.com/cottonlanding/cottonlanding/internal/platform/keeper"
	"github.com/cottonlanding/cottonlanding/internal/stand/platform"
)

// TestGoldenPlatform guards against another path, parameter or field of the stand-in of the
// platform.
func TestGoldenPlatform(t *testing.T) {
	p := platform.New(keeper.New(), 0)
	out := ""
	for _, one := range []struct{ method, path, body string }{
		{"POST", "/v1/Table/Commit", `{"ID":"id1","Checks":[{"Key":"k2","Expect":0}],"Writes":[{"Key":"k1","Expect":0,"Value":"djE=","Delete":false,"Unchecked":false}]}`},
		{"POST", "/v1/Table/Commit", `{"ID":"id1","Checks":[],"Writes":[{"Key":"k1","Expect":9}]}`},
		{"POST", "/v1/Table/Read", `{"Keys":["k1"]}`},
		{"POST", "/v1/Table/Scan", `{"Prefix":"k","After":"","Limit":5}`},
		{"POST", "/v1/Table/Read", `{"Other":1}`},
		{"PUT", "/v1/Objects/o1", "data"},
		{"GET", "/v1/Objects/o1", ""},
		{"DELETE", "/v1/Objects/o1", ""},
		{"GET", "/v1/Objects/o1", ""},
		{"PUT", "/stand/Workers", `{"ID":"w1","Born":1,"Address":"a:1","DataCentre":"d1","Rack":"r1","Capacity":{"CPU":2,"Memory":3,"Accelerators":4},"State":"Live","Service":"s1","Labels":["l1"]}`},
		{"PUT", "/stand/Executors", `{"ID":"e1","Service":"s1","Address":"a:2","DataCentre":"d1","Worker":"w1","State":"Leaving"}`},
		{"GET", "/v1/Hosts?DataCentre=d1", ""},
		{"GET", "/stand/Counts", ""},
	} {
		recorded := httptest.NewRecorder()
		p.ServeHTTP(recorded, httptest.NewRequest(one.method, one.path, strings.NewReader(one.body)))
		out += fmt.Sprintf("%s %s\n%s\n", one.method, one.path, transcriber.Response(recorded))
	}
	transcriber.RequireFile(t, "platform.txt", out)
}
