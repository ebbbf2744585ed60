package follower

import (
	"context"
	"time"

	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/fleet/watcher"
)

func (f *Follower) followVMs(ctx context.Context) {
	for ctx.Err() == nil {
		vms, err := f.platform.VMs(ctx)
		if err != nil {
			f.Log.Write(logger.EventVMListFailed, logger.Err(err))
		} else {
			f.mu.Lock()
			f.vms = vms
			f.mu.Unlock()
		}
		f.sleep(ctx, f.jitter(vmInterval))
	}
}

// followService watches the configuration service if this process is one of its domain's watchers, else reads it rarely.
func (f *Follower) followService(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.readService(ctx)
		if err != nil {
			f.Log.Write(logger.EventServiceUnreachable, logger.Err(err))
			f.sleep(ctx, f.jitter(2*timekeeper.Second))

			continue
		}
		if f.watching() {
			continue
		}
		interval := pollInterval
		if f.Snapshot() == nil {
			interval = firstPolls
		}
		f.sleep(ctx, f.jitter(interval))
	}
}

func (f *Follower) watching() bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.acceptor.Current() != nil && watcher.IsWatcher(f.self, f.vms)
}

func (f *Follower) readService(ctx context.Context) error {
	var manifest []byte
	var err error
	if f.watching() {
		manifest, err = f.platform.Watch(ctx, f.Snapshot().Version)
	} else {
		manifest, err = f.platform.Manifest(ctx)
	}
	if err != nil {
		return err
	}
	if len(manifest) > 0 {
		if err := f.fetch(ctx, manifest, f.platform.Values); err != nil {
			return err
		}
	}
	f.mu.Lock()
	f.acceptor.Starter.HeardService()
	f.mu.Unlock()

	return nil
}

type fetchValues func(ctx context.Context, hashes []string) (map[string][]byte, error)

func (f *Follower) fetch(ctx context.Context, manifest []byte, values fetchValues) error {
	f.mu.Lock()
	missing, err := f.acceptor.Missing(manifest)
	f.mu.Unlock()
	if err != nil {
		f.Log.Write(logger.EventConfigInvalid, logger.Err(err))

		return nil
	}
	fetched, err := values(ctx, missing)
	if err != nil {
		return err
	}
	f.accept(manifest, fetched)

	return nil
}

func (f *Follower) sleep(ctx context.Context, span timekeeper.Millis) {
	t := time.NewTimer(span.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (f *Follower) jitter(span timekeeper.Millis) timekeeper.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()

	return span*3/4 + timekeeper.Millis(f.random.Int64N(int64(span)/2+1))
}

// VMs returns the VM list as last read.
func (f *Follower) VMs() []model.VM {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.vms
}
