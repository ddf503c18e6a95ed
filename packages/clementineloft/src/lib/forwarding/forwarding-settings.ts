/**
 * Settings schema of the processes that forward complete calls.
 */
import * as z from 'zod'
import { LayoutGoal } from '@clementineloft/routing'

const address = z.string().regex(/^[\d.]+:\d{1,5}$/, 'expected an address such as 127.0.0.1:7000')
const milliseconds = z.number('expected a number of milliseconds').min(0, 'expected at least 0 milliseconds')

const limit = z.number('expected a number').min(1, 'expected at least 1')

const common = {
  instance: z.object({
    name: z.string('expected a name').min(1, 'expected a name').describe('name of this instance'),
    data_centre: z.string('expected the name of the data centre').min(1).describe('data centre of this instance'),
    metrics_address: address.describe('address at which metrics are served, `ip:port`'),
    reports_address: address.describe('address for reports between sidecars and entries, `ip:port`; the port is the same on all instances')
  }),
  platform: z.object({
    store_address: address.describe('address of the object store, `ip:port`'),
    heartbeat_ms: milliseconds.describe('time between two writes of an endpoint\'s entry in the list, in milliseconds')
  }),
  shutdown: z.object({
    grace_ms: milliseconds.describe('time between the signal to stop and the kill, in milliseconds')
  }),
  limits: z.object({
    memory_mb: limit.optional().describe('memory of the instance, in megabytes; without it the limit of the heap or the memory of the host, whichever is less'),
    max_fds: limit.optional().describe('descriptors that the process may open; without it the connections of callers have no limit')
  }).prefault({})
}

/** Settings of an entry that forwards calls. */
export const forwardingEntrySchema = z.object({
  role: z.literal('entry'),
  ...common,
  callers: z.object({
    address: address.describe('address for callers, `ip:port`'),
    readiness_address: address.describe('address at which the platform asks for readiness, `ip:port`')
  }),
  retries: z.object({
    window_ms: milliseconds.describe('span over which repeats are counted, in milliseconds'),
    ratio: z.number().min(0).describe('repeats for each request of the span, over all entries'),
    extra: z.number().min(0).describe('repeats in the span besides, over all entries')
  }),
  answers: z.object({
    reserve_memory: z.boolean('expected true or false').default(false)
      .describe('whether memory of model endpoints is reserved for the answers of requests; an event of a stream counts as one token')
  }).prefault({}),
  starts: z.object({
    limit: z.boolean('expected true or false').default(false)
      .describe('whether new streams are held back while first events are later than the objective of their route')
  }).prefault({})
})

/** Settings of a sidecar that controls the layers of a model endpoint. */
export const layerSidecarSchema = z.object({
  role: z.literal('sidecar'),
  ...common,
  endpoint: z.object({
    address: address.describe('address of the model endpoint beside this sidecar, `ip:port`'),
    service: z.string().min(1).describe('service of that endpoint')
  }),
  layout: z.object({
    goal: z.enum(LayoutGoal, 'expected "memory" or "time"').default(LayoutGoal.memory).describe('what a first layout is planned for: room for the most requests, or answers in the least time')
  }).optional()
})

/** Settings of either role. */
export const forwardingSettingsSchema = z.discriminatedUnion('role', [forwardingEntrySchema, layerSidecarSchema])

export type ForwardingEntrySettings = z.infer<typeof forwardingEntrySchema>
export type LayerSidecarSettings = z.infer<typeof layerSidecarSchema>
export type ForwardingSettings = z.infer<typeof forwardingSettingsSchema>
