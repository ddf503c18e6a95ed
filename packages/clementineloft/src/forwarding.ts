/**
 * Public API for programs that forward complete calls on a platform of their own.
 */
export * from './lib/callers/caller-protocol.js'
export * from './lib/forwarding/call-protocol.js'
export * from './lib/forwarding/forwarding-settings.js'
export * from './lib/forwarding/platform-ports.js'
export * from './lib/forwarding/run-forwarding.js'
export { isHeaderValue } from './lib/callers/message-text.js'
export { HttpClient } from './lib/adapters/http-client.js'
