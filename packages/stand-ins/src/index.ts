/**
 * Stand-ins for the platform, its engines and its services, for tests and measurements.
 */
export * from './lib/model-fold.js'
