/**
 * Stand-ins for what the platform gives, for tests and measurements.
 */
export * from './lib/model-fold.js'
