// Package zonetest contains failure tests of the packages that together run one zone, with fakes and simulated time.
package zonetest
