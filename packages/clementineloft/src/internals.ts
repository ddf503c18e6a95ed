/**
 * Internal modules for measurement tools; not a public API.
 */
export * from './lib/operators/config-document.js'
export * from './lib/endpoints/endpoint-directory.js'
export * from './lib/callers/api-key-index.js'
export * from './lib/peers/grpc-services.js'
export * from './lib/adapters/http-instance-list.js'
export * from './lib/endpoints/link-pool.js'
export * from './lib/peers/peer-service.js'
export * from './lib/peers/process-context.js'
export * from './lib/peers/process-credentials.js'
export * from './lib/adapters/reset-detector.js'
export * from './lib/settings/read-settings-file.js'
export * from './lib/settings/settings-schema.js'
export * from './lib/endpoints/stage-link.js'
