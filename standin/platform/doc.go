// Package platform is a small stand-in for the platform's table service, object
// store and host list, kept in memory.
package platform
