/**
 * The settings file of an experiment on the emulated platform.
 */
import * as z from 'zod'
import { readSettingsFile } from 'clementineloft/internals'
import { parseSettings } from '@clementineloft/kernel'

const rate = z.number('expected calls a second').min(0, 'expected at least 0 calls a second')
const count = z.int('expected a whole number').min(1, 'expected at least 1')

/** Schema of the file. */
export const experimentSchema = z.strictObject({
  experiment: z.strictObject({
    name: z.string('expected a name').min(1, 'expected a name').describe('title of table and picture'),
    seed: z.int('expected a whole number').describe('seed of arrivals and of faults'),
    duration_s: z.number('expected seconds').min(1, 'expected at least 1 second').max(600, 'expected at most 600 seconds').describe('time over which calls arrive, in seconds'),
    has_harm: z.boolean('expected true or false').describe('whether to inject the faults that the soak draws from the same seed')
  }),
  system: z.strictObject({
    network: z.string().regex(/^127\.\d{1,3}$/, 'expected two numbers such as 127.95').describe('first two octets of all addresses'),
    entries: count.describe('entries'),
    workers: count.describe('model endpoints, each with a sidecar'),
    services: count.describe('endpoints of the plain service')
  }),
  load: z.strictObject({
    streams_per_s: rate.describe('streams per second'),
    bookings_per_s: rate.describe('calls that must not be repeated, per second'),
    look_ups_per_s: rate.describe('calls that may be repeated, per second'),
    burst_factor: z.number('expected a factor').min(1, 'expected at least 1').describe('factor by which the burst multiplies the load'),
    burst_at_s: z.number('expected seconds').min(0, 'expected at least 0').describe('start of the burst, in seconds'),
    burst_for_s: z.number('expected seconds').min(0, 'expected at least 0').describe('length of the burst, in seconds; 0 for none')
  })
})

export type ExperimentSettings = z.infer<typeof experimentSchema>

/**
 * @param file - path of a settings file
 * @throws `settings-invalid` with all problems of the file
 */
export const loadExperiment = (file: string): ExperimentSettings => parseSettings(readSettingsFile(file), experimentSchema)
