// Changes of the configuration that operators make during a scenario.

package scenario

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"sync"
)

// service is a service in the JSON of primrosectl.
type service map[string]any

func (f *fleet) service(name, addresses string) (service, error) {
	out, err := f.runProgram("primrosectl", "--server", addresses, "service", "get", name, "-o", "json")
	if err != nil {
		return nil, err
	}

	var s service

	return s, json.Unmarshal(out, &s)
}

func (s service) partitionMap() map[string]any { return s["partition_map"].(map[string]any) }

// rotatedJSON returns the service with a second partition map that assigns each shard
// to the searchers of the previous shard.
func (s service) rotatedJSON() ([]byte, error) {
	m := s.partitionMap()
	shards := m["shards"].([]any)
	searchers := make([]any, len(shards))

	for i, sh := range shards {
		searchers[(i+1)%len(shards)] = sh.(map[string]any)["searchers"]
	}

	for i, sh := range shards {
		sh.(map[string]any)["searchers"] = searchers[i]
	}

	m["version"] = secondMapVersion

	return json.Marshal(s)
}

// secondMapVersion is the version of the second partition map, as protojson writes it.
const secondMapVersion = "2"

// repartition switches to a second partition map while the searchers hold the shards
// of both, and has them drop those of the first once the second is in force at every
// instance.
func (f *fleet) repartition(name string) error {
	err := await("changing the partition map", func() error {
		s, err := f.service(name, f.operatorAddresses())
		if err != nil || s.partitionMap()["version"] == secondMapVersion {
			return err
		}

		data, err := s.rotatedJSON()
		if err != nil {
			return err
		}

		if err := os.WriteFile(f.path("repartition.json"), data, 0o600); err != nil {
			return err
		}

		_, err = f.runProgram("primrosectl", "--server", f.operatorAddresses(), "service", "update", "--file", "repartition.json")

		return err
	})
	if err != nil {
		return err
	}

	for _, in := range f.Instances {
		err := await("waiting for the partition map at "+in.ID, func() error {
			s, err := f.service(name, in.Operator)
			if err == nil && s.partitionMap()["version"] != secondMapVersion {
				err = fmt.Errorf("version %v is in force", s.partitionMap()["version"])
			}

			return err
		})
		if err != nil {
			return err
		}
	}

	for _, sr := range f.Searchers {
		if sr.Service != name {
			continue
		}

		body := fmt.Sprintf(`{"service": %q, "shard": %d, "snapshots": []}`, name, sr.Shard)
		if _, err := request(http.MethodPost, "http://"+f.SearcherControl+"/fake/hold?id="+sr.ID, []byte(body)); err != nil {
			return err
		}
	}

	return nil
}

const (
	raceRounds = 4
	racers     = 3
	// raceTimeoutMS is a lower bound of the different timeouts that the racers set.
	raceTimeoutMS = 1000
)

// race has operators at different instances change the same version of a service
// concurrently, and fails if more than one change is accepted. A round without an
// accepted change is no error, since another fault may stop writes to the store.
func (f *fleet) race(name string) error {
	for round := range raceRounds {
		s, err := f.service(name, f.operatorAddresses())
		if err != nil {
			return err
		}

		accepted, err := f.raceOnce(name, fmt.Sprint(s["version"]), round)
		if err != nil {
			return err
		}

		if accepted > 1 {
			return fmt.Errorf("%d of %d conflicting changes to version %v were accepted", accepted, racers, s["version"])
		}
	}

	return nil
}

// raceOnce makes conflicting changes concurrently and returns how many were accepted.
func (f *fleet) raceOnce(name, version string, round int) (int, error) {
	errs := make([]error, racers)

	var wg sync.WaitGroup

	for i := range racers {
		wg.Go(func() {
			_, errs[i] = f.runProgram("primrosectl", "--server", f.Instances[i%len(f.Instances)].Operator, "rules", "set", name,
				"--timeout-ms", strconv.Itoa(raceTimeoutMS+round*racers+i+1), "--version", version)
		})
	}

	wg.Wait()

	accepted := 0

	for _, err := range errs {
		var exit *exec.ExitError

		switch {
		case err == nil:
			accepted++
		case !errors.As(err, &exit):
			return 0, err
		}
	}

	return accepted, nil
}
