/**
 * The decisions of the router: pipelines, picking, stages, team queues.
 */
export * from './lib/alignment.js'
export * from './lib/crash-register.js'
export * from './lib/engine-executor.js'
export * from './lib/fair-queue.js'
export * from './lib/frames.js'
export * from './lib/load-table.js'
export * from './lib/max-flow.js'
export * from './lib/model-engine.js'
export * from './lib/model-graph.js'
export * from './lib/output-log.js'
export * from './lib/pipeline-picker.js'
export * from './lib/pipeline-run.js'
export * from './lib/stage-host.js'
export * from './lib/stage-session.js'
