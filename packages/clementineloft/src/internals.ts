/**
 * Parts for measuring tools; not for embedders.
 */
export * from './lib/config-document.js'
export * from './lib/endpoint-directory.js'
export * from './lib/authenticate.js'
export * from './lib/grpc-services.js'
export * from './lib/http-instance-list.js'
export * from './lib/link-pool.js'
export * from './lib/peer-service.js'
export * from './lib/process-context.js'
export * from './lib/process-credentials.js'
export * from './lib/settings-schema.js'
export * from './lib/stage-link.js'
