/**
 * Schema of a settings file, from which the reference in docs/CONFIGURATION.md is generated.
 */
import * as z from 'zod'

const address = z.string()
  .regex(/^[\d.]+:\d{1,5}$/, 'expected an address such as 127.0.0.1:7000')
  .describe('address to listen on or to call, `ip:port`')
const url = z.url({ protocol: /^https?$/, error: 'expected a URL such as http://127.0.0.1:7000' })
const milliseconds = z.int('expected a whole number of milliseconds').min(1, 'expected at least 1 millisecond')
const count = z.int('expected a whole number').min(1, 'expected at least 1')

const instance = z.strictObject({
  name: z.string('expected a name').min(1, 'expected a name').describe('name of this instance; a sidecar has the name of its endpoint'),
  data_centre: z.string('expected the name of the data centre').min(1).describe('data centre of this instance'),
  address: address.describe('address for calls from other processes, `ip:port`'),
  admin_address: address.describe('address of health, metrics, time line and operators\' calls, `ip:port`')
}).describe('This instance')

const platform = z.strictObject({
  adapter: z.enum(['http']).default('http').describe('adapter of the object API and the instance list'),
  store_url: url.describe('object API'),
  list_url: url.describe('list of instances'),
  timeout_ms: milliseconds.default(2000).describe('time-out of a call, in milliseconds'),
  list_interval_ms: milliseconds.default(5000).describe('time between two reads of the instance list, in milliseconds')
}).describe('The platform')

const tls = z.strictObject({
  ca_file: z.string().describe('certificate of the authority that signs all processes, PEM'),
  cert_file: z.string().describe('certificate of this process, PEM'),
  key_file: z.string().describe('private key of this process, PEM')
}).describe('Mutual TLS between processes; without this table they speak plain text')

const spread = z.strictObject({
  exchange_interval_ms: milliseconds.default(2000).describe('time between two comparisons with a neighbour, in milliseconds'),
  neighbours: count.default(6).describe('peers that a process compares with, over kept connections'),
  watchers_per_data_centre: count.default(2).describe('processes of a data centre that watch the store')
}).describe('Spreading of the configuration')

const logs = z.strictObject({
  level: z.enum(['debug', 'info', 'warn', 'error']).default('info').describe('least level that is written'),
  format: z.enum(['json', 'pretty']).default('json').describe('format of a line')
}).describe('Logs on standard output')

const shutdown = z.strictObject({
  grace_ms: milliseconds.default(20_000).describe('time that a shutdown leaves work in flight where it is, in milliseconds; after that a sidecar asks entries to move it')
}).describe('Graceful shutdown')

const commonFields = {
  instance,
  platform,
  tls: tls.optional(),
  spread: spread.prefault({}),
  logs: logs.prefault({}),
  shutdown: shutdown.prefault({})
}

const callers = z.strictObject({
  address: address.describe('address for callers, `ip:port`'),
  max_body_bytes: count.default(1_000_000).describe('longest request body, in bytes'),
  max_header_bytes: count.default(16_384).describe('longest request header, in bytes'),
  body_timeout_ms: milliseconds.default(10_000).describe('time a caller has to send a request, in milliseconds'),
  default_deadline_ms: milliseconds.default(120_000).describe('time limit of a request that names none, in milliseconds')
}).describe('Callers')

const runs = z.strictObject({
  open_timeout_ms: milliseconds.default(800).describe('time a stage has to answer a reservation, in milliseconds'),
  stall_ms: milliseconds.default(700).describe('silence after which stages are probed, in milliseconds'),
  probe_timeout_ms: milliseconds.default(600).describe('time a stage has to answer a probe, in milliseconds'),
  max_replacements: count.default(8).describe('times that stages of one request may be replaced without a token or a pause in between'),
  restart_pause_ms: milliseconds.default(1000).describe('pause after that, in milliseconds; about what a process takes to start again'),
  max_silence_ms: milliseconds.default(30_000).describe('time without a token after which a request that loses stages is given up, in milliseconds; a quarter of its time limit'),
  endpoints_per_stage: count.default(8).describe('endpoints of each range of layers that this entry uses while they suffice'),
  max_crashes: count.default(2).describe('endpoints that one request may crash before it is refused')
}).describe('Pipelines')

/** Settings of an entry. */
export const entrySchema = z.strictObject({
  role: z.literal('entry').describe('role of the process'),
  ...commonFields,
  callers,
  runs: runs.prefault({})
})

const engine = z.strictObject({
  adapter: z.enum(['http']).default('http').describe('adapter of the model engine'),
  url: url.describe('the model engine'),
  takes_orders: z.boolean().default(false).describe('whether the sidecar orders the engine to load the layers that the configuration names'),
  max_batch: count.default(64).describe('steps that run at the same time'),
  max_chunk: count.default(64).describe('positions of a long prompt that run in one step'),
  burst_credit: count.default(4096).describe('positions by which a team that has used less than its share may run ahead of one that has used more'),
  quantum: count.default(512).describe('positions for which a prompt may run on before a team of the same weight that waits'),
  step_timeout_ms: milliseconds.default(1500).describe('time a step may take, in milliseconds'),
  token_interval_ms: milliseconds.default(38).describe('target for the time between tokens, in milliseconds; with the endpoint\'s speed it bounds the requests held'),
  max_sessions: count.default(2048).describe('requests held at the same time'),
  max_log_bytes: count.default(8_388_608).describe('outputs kept for each request, in bytes')
}).describe('Model engine beside this sidecar')

const service = z.strictObject({
  adapter: z.enum(['http']).default('http').describe('adapter of the plain service'),
  url: url.describe('the plain service'),
  max_in_flight: count.default(64).describe('calls that run at the same time'),
  call_timeout_ms: milliseconds.default(10_000).describe('time a call may take, in milliseconds'),
  retention_ms: milliseconds.default(3_600_000).describe('time that idempotency keys are remembered, in milliseconds')
}).describe('Plain service beside this sidecar')

/** Settings of a sidecar, which has exactly one of `engine` and `service`. */
export const sidecarSchema = z.strictObject({
  role: z.literal('sidecar').describe('role of the process'),
  ...commonFields,
  engine: engine.optional(),
  service: service.optional()
})

/** Settings of either role. */
export const settingsSchema = z.discriminatedUnion('role', [entrySchema, sidecarSchema])
  .refine((settings) => settings.role === 'entry' || (settings.engine === undefined) !== (settings.service === undefined), {
    path: ['engine'], message: 'expected exactly one of the tables "engine" and "service"'
  })

export type EntrySettings = z.infer<typeof entrySchema>
export type SidecarSettings = z.infer<typeof sidecarSchema>
export type Settings = z.infer<typeof settingsSchema>
export type CommonSettings = Omit<EntrySettings, 'role' | 'callers' | 'runs'>
