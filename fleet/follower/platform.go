package follower

import (
	"context"
	"time"

	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/fleet/watcher"
)

func (f *Follower) pollVMList(ctx context.Context) {
	for ctx.Err() == nil {
		vms, err := f.platform.VMs(ctx)
		if err != nil {
			f.Log.Write(logger.EventVMListUnreachable, logger.Err(err))
		} else {
			f.mu.Lock()
			f.vms = vms
			f.mu.Unlock()
		}
		f.sleep(ctx, f.jitter(vmListInterval))
	}
}

// followConfigurationService watches the configuration service if this process is one of the watchers of its failure domain.
// Otherwise, it polls the service.
func (f *Follower) followConfigurationService(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.readConfiguration(ctx)
		if err != nil {
			f.Log.Write(logger.EventConfigServiceUnreachable, logger.Err(err))
			f.sleep(ctx, f.jitter(2*timekeeper.Second))

			continue
		}
		if f.shouldWatch() {
			continue
		}
		interval := pollInterval
		if f.Snapshot() == nil {
			interval = initialPollInterval
		}
		f.sleep(ctx, f.jitter(interval))
	}
}

func (f *Follower) shouldWatch() bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.acceptor.Current() != nil && watcher.IsWatcher(f.self, f.vms)
}

func (f *Follower) readConfiguration(ctx context.Context) error {
	var manifest []byte
	var err error
	if f.shouldWatch() {
		manifest, err = f.platform.Watch(ctx, f.Snapshot().Version)
	} else {
		manifest, err = f.platform.Manifest(ctx)
	}
	if err != nil {
		return err
	}
	if len(manifest) > 0 {
		if err := f.fetchMissingValues(ctx, manifest, f.platform.Values); err != nil {
			return err
		}
	}
	f.mu.Lock()
	f.acceptor.Readiness.RecordService()
	f.mu.Unlock()

	return nil
}

// valueFetcher returns the values with the given hashes, keyed by hash.
type valueFetcher func(ctx context.Context, hashes []string) (map[string][]byte, error)

// fetchMissingValues fetches the values that a manifest needs and offers the configuration to the acceptor.
func (f *Follower) fetchMissingValues(ctx context.Context, manifest []byte, values valueFetcher) error {
	f.mu.Lock()
	missing, err := f.acceptor.MissingHashes(manifest)
	f.mu.Unlock()
	if err != nil {
		f.Log.Write(logger.EventConfigInvalid, logger.Err(err))

		return nil
	}
	fetched, err := values(ctx, missing)
	if err != nil {
		return err
	}
	f.offerConfiguration(manifest, fetched)

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

// jitter returns a random duration between 3/4 and 5/4 of span.
func (f *Follower) jitter(span timekeeper.Millis) timekeeper.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()

	return span*3/4 + timekeeper.Millis(f.random.Int64N(int64(span)/2+1))
}

// VMs returns the VM list as last read, or nil if it has not been read yet.
func (f *Follower) VMs() []model.VM {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.vms
}
