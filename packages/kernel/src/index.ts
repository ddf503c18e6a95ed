/**
 * Foundation of all other packages: clocks, random numbers, errors, settings, event journal, metrics and plug-ins.
 */
export * from './lib/clock.js'
export * from './lib/errors.js'
export * from './lib/event-log-writer.js'
export * from './lib/hybrid-clock.js'
export * from './lib/identifiers.js'
export * from './lib/journal.js'
export * from './lib/metrics.js'
export * from './lib/plugin-registry.js'
export * from './lib/random.js'
export * from './lib/settings.js'
