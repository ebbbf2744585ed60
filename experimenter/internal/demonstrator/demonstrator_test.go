package demonstrator

import (
	"io"
	"os"
	"testing"

	"cardamompulley/experimenter/internal/launcher"
)

func TestDemo(t *testing.T) {
	f, err := launcher.Launch(launcher.Spec{
		BinDir: os.Getenv("CARDAMOMPULLEY_BIN"), Engines: 3, PlainEndpoints: 2, Routers: 2, Domains: 2, Logs: io.Discard,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Kill)
	if err := NewDemonstrator(io.Discard, f).Run(); err != nil {
		t.Fatal(err)
	}
	if err := f.Stop(); err != nil {
		t.Fatal(err)
	}
}

func TestGatewayDemo(t *testing.T) {
	f, err := launcher.LaunchGateways(launcher.DemoGatewaySpec(os.Getenv("CARDAMOMPULLEY_BIN"), io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Kill)
	if err := NewGatewayDemonstrator(io.Discard, f).Run(); err != nil {
		t.Fatal(err)
	}
	if err := f.Stop(); err != nil {
		t.Fatal(err)
	}
}
