/**
 * Types and schemas for external tools: the configuration document and the settings.
 */
export * from './lib/operators/config-document.js'
export * from './lib/settings/settings-schema.js'
