package confsync

import (
	"fmt"
	"testing"
	"time"

	"github.com/sapphireplank/sapphireplank/internal/config"
)

// targetConfig returns a configuration of the target size: 11,000 hosts and 1,000 backend servers.
func targetConfig() *config.Config {
	c := &config.Config{Revision: 1000, ID: "01980000-0000-7000-8000-000000000001", Team: "target"}
	service := config.Service{Name: "tracker", Keyed: true, Partitions: 65536, Slots: 3}
	for i := range 11_000 {
		zone, cell := fmt.Sprintf("zone-%02d", i/917), fmt.Sprintf("cell-%03d", i/12)
		c.Hosts = append(c.Hosts, config.Host{
			Name: fmt.Sprintf("host-%05d", i), Zone: zone, Cell: cell, Rack: fmt.Sprintf("rack-%d", i%12),
			PeerAddress:   fmt.Sprintf("10.%d.%d.%d:7401", i>>16, i>>8&255, i&255),
			CallerAddress: fmt.Sprintf("10.%d.%d.%d:7402", i>>16, i>>8&255, i&255),
			AdminAddress:  fmt.Sprintf("10.%d.%d.%d:7403", i>>16, i>>8&255, i&255),
		})
		if i%11 == 0 {
			service.Servers = append(service.Servers, config.Server{
				Name: fmt.Sprintf("tracker-%05d", i), Zone: zone, Cell: cell, Address: fmt.Sprintf("10.9.%d.%d:80", i>>8&255, i&255),
			})
		}
	}
	c.Services = []config.Service{service}
	return c
}

// BenchmarkPatch measures the cost of one changed host and one announced stop at the target size.
func BenchmarkPatch(b *testing.B) {
	c := targetConfig()
	base, err := c.Encode()
	if err != nil {
		b.Fatal(err)
	}
	c.Revision, c.ID = 1001, "01980000-0000-7000-8000-000000000002"
	c.Hosts[5000].PeerAddress = "10.200.1.1:7401"
	c.Stops = append(c.Stops, config.Stop{Target: "host-06000", At: time.Unix(1_800_000_000, 0).UTC(), ForSeconds: 600})
	target, err := c.Encode()
	if err != nil {
		b.Fatal(err)
	}
	patch := makeDocumentPatch(base, target)
	for name, run := range map[string]func(){
		"make":   func() { makeDocumentPatch(base, target) },
		"apply":  func() { applyDocumentPatch(base, patch) },
		"decode": func() { _, _ = config.DecodeIgnoringUnknown(target) },
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				run()
			}
			b.ReportMetric(float64(len(target)), "document-bytes")
			b.ReportMetric(float64(len(patch)), "patch-bytes")
		})
	}
	// A patch that is computed on the compressed bytes is about as large as the document.
	b.Logf("patch of the compressed documents: %d bytes", len(makePatch(base, target)))
}

// Guards against patches of compressed documents that are as large as the document itself, and against patched
// documents that the receiver cannot decode or forward as a patch.
func TestPatchOfCompressedDocuments(t *testing.T) {
	c := targetConfig()
	base, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	c.Revision = 1001
	target, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	patch := makeDocumentPatch(base, target)
	const maxPatchBytes = 1000
	got, ok := applyDocumentPatch(base, patch)
	if !ok || len(patch) > maxPatchBytes || len(got) > config.MaxDocumentBytes {
		t.Fatalf("patch of %d bytes made %d bytes, %v", len(patch), len(got), ok)
	}
	read, err := config.Decode(got)
	if err != nil || read.Revision != 1001 || len(read.Hosts) != len(c.Hosts) {
		t.Fatalf("patched document: %v", err)
	}
	if patch := makeDocumentPatch(got, base); len(patch) > maxPatchBytes {
		t.Fatalf("patch back has %d bytes", len(patch))
	}
	if makeDocumentPatch(base, gzipMagic) != nil {
		t.Fatal("patch of a malformed document")
	}
}
