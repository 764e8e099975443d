// Package planner decides which task runs where: a pure function from the tracker's state and what is known of running
// work to starts and stops. It answers these loads: urgent jobs that must begin within seconds although the cluster
// is full, gangs that need one rack, and batch work that asks for up to twice what there is.
//
// Invariants: a start never asks for more than is free, what is being stopped counting as taken; urgent jobs within
// their workspace's guarantee come before all others; only work of a lower rank is stopped for a job; a gang is
// started whole or not at all.
package planner
