package launcher

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
	"cardamompulley/platform/imitator"
)

// StartEndpoint starts an endpoint of a service in a failure domain and registers it in the store.
func (f *GatewayFleet) StartEndpoint(id model.EndpointID, service model.ServiceID, domain int) error {
	return f.StartEndpointOf(id, service, domain, "")
}

// StartEndpointOf starts an endpoint like StartEndpoint. If software is not empty, its entry and its events name that version.
func (f *GatewayFleet) StartEndpointOf(id model.EndpointID, service model.ServiceID, domain int, software model.SoftwareVersion) error {
	p, err := f.startProgram(string(id), "standin", []string{"standin"}, "responder", "--id", string(id), "--software", string(software),
		"--events", fmt.Sprint(max(f.spec.EventsPerStream, 1)), "--gap-ms", fmt.Sprint(int64(f.spec.EventInterval)))
	if err != nil {
		return err
	}
	f.Endpoints[id] = p
	f.entries[id] = imitator.Endpoint{Software: software, StartedAt: timekeeper.Millis(time.Now().UnixMilli())}

	return f.RegisterEndpoint(id, service, domain, false)
}

// RegisterEndpoint writes the entry of an endpoint in the store.
func (f *GatewayFleet) RegisterEndpoint(id model.EndpointID, service model.ServiceID, domain int, draining bool) error {
	e := f.entries[id]
	e.Service, e.Address, e.Domain, e.IsDraining = service, f.Endpoints[id].Address("standin"), gatewayDomainID(domain), draining
	f.entries[id] = e

	return f.PutItem(imitator.KeyEndpoint(id), e.Entry())
}

// RestartEntry writes the entry of an endpoint as a new process writes it that starts under the same ID and address.
func (f *GatewayFleet) RestartEntry(id model.EndpointID) error {
	e := f.entries[id]
	e.StartedAt = timekeeper.Millis(time.Now().UnixMilli())
	f.entries[id] = e

	return f.PutItem(imitator.KeyEndpoint(id), e.Entry())
}

// DeregisterEndpoint deletes the entry of an endpoint from the store.
func (f *GatewayFleet) DeregisterEndpoint(id model.EndpointID) error {
	return f.deleteItem(imitator.KeyEndpoint(id))
}

// SetEndpointFaults replaces the faults of an endpoint, given as JSON.
func (f *GatewayFleet) SetEndpointFaults(id model.EndpointID, faults string) error {
	return callStandIn(http.MethodPut, f.Endpoints[id], "/standin/faults", []byte(faults))
}

// ExecutedRequest is a request that an endpoint has executed or is executing.
type ExecutedRequest struct {
	AttemptID  string      `json:"attempt"`
	Method     string      `json:"method"`
	RequestURI string      `json:"target"`
	Header     http.Header `json:"header"`
	Body       string      `json:"body"`
	// ArrivedAt is a Unix time in milliseconds.
	ArrivedAt int64 `json:"arrived-ms"`
}

// endpointRecord is what the stand-in of an endpoint has recorded.
type endpointRecord struct {
	Running    int               `json:"running"`
	Runs       []ExecutedRequest `json:"runs"`
	Rejections []int64           `json:"rejections-ms"`
}

func (f *GatewayFleet) fetchRecord(id model.EndpointID) (endpointRecord, error) {
	var record endpointRecord
	response, err := http.Get("http://" + f.Endpoints[id].Address("standin") + "/standin/runs")
	if err != nil {
		return record, fmt.Errorf("launcher: fetch executed requests of %s: %w", id, err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(&record); err != nil {
		return record, fmt.Errorf("launcher: decode executed requests of %s: %w", id, err)
	}

	return record, nil
}

// ExecutedRequests returns the requests that an endpoint has executed or is executing, and how many are still running.
func (f *GatewayFleet) ExecutedRequests(id model.EndpointID) ([]ExecutedRequest, int, error) {
	record, err := f.fetchRecord(id)

	return record.Runs, record.Running, err
}

// Rejections returns the times at which an endpoint has rejected requests.
func (f *GatewayFleet) Rejections(id model.EndpointID) ([]time.Time, error) {
	record, err := f.fetchRecord(id)
	times := make([]time.Time, 0, len(record.Rejections))
	for _, at := range record.Rejections {
		times = append(times, time.UnixMilli(at))
	}

	return times, err
}

// ExecutionCount returns how often an attempt was executed, summed over all endpoints.
func (f *GatewayFleet) ExecutionCount(attemptID string) (int, error) {
	count := 0
	for id := range f.Endpoints {
		requests, _, err := f.ExecutedRequests(id)
		if err != nil {
			return 0, err
		}
		for _, r := range requests {
			if r.AttemptID == attemptID {
				count++
			}
		}
	}

	return count, nil
}
