/**
 * Configuration, idempotency claims, leases and membership on top of the platform's object API, without a consensus
 * group or coordination service.
 */
export * from './lib/call-gate.js'
export * from './lib/claim-range.js'
export * from './lib/claim-records.js'
export * from './lib/config-replica.js'
export * from './lib/config-gossip.js'
export * from './lib/fenced-lease.js'
export * from './lib/membership.js'
export * from './lib/memory-store.js'
export * from './lib/object-store.js'
export * from './lib/config-planner.js'
export * from './lib/rendezvous.js'
export * from './lib/store-record.js'
export * from './lib/ticket-issuer.js'
export * from './lib/timed-lease.js'
export * from './lib/kind-replica.js'
export * from './lib/kind-store.js'
