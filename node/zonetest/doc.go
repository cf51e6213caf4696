// Package zonetest holds failure tests of the parts that run one zone together, on fakes and in simulated time.
package zonetest
