package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Plays that are told of in the report and are no cases.
func init() {
	cases["two-steps"] = reviewCase{3, playTwoSteps}
	cases["route-renamed"] = reviewCase{3, playRouteRenamed}
	cases["unreadable-manifest"] = reviewCase{3, playUnreadableManifest}
}

// playTwoSteps fills all accelerators with batch work of 90 s. Then a tenant hands in an urgent job of two steps, one after
// the other, each of which needs the whole guarantee.
func playTwoSteps(c *cluster, trouble bool) (string, error) {
	if err := c.prepareGuarantee(8, 0); err != nil {
		return "", err
	}
	if trouble {
		if err := c.submit(batchPrefix, jobB, secondKey, timedJob(24, 1, 90*time.Second)); err != nil {
			return "", err
		}
		time.Sleep(3 * settle)
	}
	job := timedJob(1, 8, 2*time.Second)
	second := step(1, 8, false, 2*time.Second)
	second["after"] = []int{0}
	job["phases"] = append(job["phases"].([]object), second)
	return c.watchReclaim(job, 1)
}

// Bounds of the rule MIXED for counts.
const (
	visibleLimit = 3 * time.Second
	countAge     = 2 * time.Second
)

// playRouteRenamed gives the batch queue another name while jobs wait in it; host, prefix and service stay as they are.
func playRouteRenamed(c *cluster, trouble bool) (string, error) {
	if err := c.prepareGuarantee(8, 0); err != nil {
		return "", err
	}
	if err := c.submit(batchPrefix, jobB, secondKey, lastingJob(24, 1)); err != nil {
		return "", err
	}
	await(settle, func() bool { return c.runningOf(jobB) == 24 })
	const waiting = 6
	for i := range waiting {
		if err := c.submit(batchPrefix, fmt.Sprintf("%016x", 0xb0+i), secondKey, timedJob(1, 8, time.Second)); err != nil {
			return "", err
		}
	}
	if trouble {
		m := manifest(8, 8, 0)
		m["routes"].([]object)[2]["name"] = "batch-2"
		if err := c.configure(m); err != nil {
			return "", err
		}
	}
	time.Sleep(visibleLimit + countAge)
	status, text := c.callFront(0, http.MethodGet, batchPrefix, secondKey, nil)
	var answer struct{ Pending int }
	if status != http.StatusOK || json.Unmarshal([]byte(text), &answer) != nil {
		return "", fmt.Errorf("the count is answered with %d", status)
	}
	if 2*answer.Pending < waiting {
		return fmt.Sprintf("MIXED: %d jobs that were accepted %.0f s before have not begun, and the count of their prefix is %d", waiting,
			(visibleLimit + countAge).Seconds(), answer.Pending), nil
	}
	return "", nil
}

// playUnreadableManifest sends a manifest in which one byte of a route's host is not valid in UTF-8, and so in JSON.
func playUnreadableManifest(c *cluster, trouble bool) (string, error) {
	if err := c.prepareGuarantee(8, 0); err != nil {
		return "", err
	}
	data, err := json.Marshal(manifest(8, 8, 0))
	if err != nil {
		return "", fmt.Errorf("encode the manifest: %w", err)
	}
	if trouble {
		damaged := []byte(host)
		damaged[2] = 0xff
		data = bytes.Replace(data, []byte(host), damaged, 1)
	}
	response, err := c.client.Post(fmt.Sprintf("http://%s:%d/v1/Config.Replace", c.frontIP(0), c.ports.control), "application/json", bytes.NewReader(data))
	if err != nil {
		return "", fmt.Errorf("send the manifest: %w", err)
	}
	_ = response.Body.Close()
	c.record.add("operator manifest with version 8 at front-0: %d", response.StatusCode)
	status, _ := c.callFront(0, http.MethodGet, urgentPrefix, firstKey, nil)
	if trouble && response.StatusCode == http.StatusOK {
		return fmt.Sprintf("CONFIG: a manifest that cannot be read in full is acknowledged; the queue's count is answered with %d", status), nil
	}
	return "", nil
}
