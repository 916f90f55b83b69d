// Package credit divides the quotas of client accounts among daemons, so that all of them
// together stay within each quota however they fail.
//
// Each daemon delegates its share of all quotas to allocators (Delegator). An Allocator
// fills a bucket per account at the rate of the delegated shares and issues tokens from it
// to brokers. A broker consumes tokens for the requests that it assigns (Wallet). These
// types are pure; Service exchanges their messages. The page docs/design/quotas.md explains
// the design.
package credit
