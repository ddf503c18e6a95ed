/**
 * Shapes that tools beside the program need: the configuration document and the settings.
 */
export * from './lib/config-document.js'
export * from './lib/settings-schema.js'
