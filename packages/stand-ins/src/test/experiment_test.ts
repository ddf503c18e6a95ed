import assert from 'node:assert/strict'
import { fileURLToPath } from 'node:url'
import { test } from 'node:test'
import { ErrorKind, getErrorKind, getErrorMessage, parseSettings } from '@clementineloft/kernel'
import { experimentSchema, loadExperiment } from '../experiment/experiment-settings.js'
import { planArrivals } from '../experiment/plan-arrivals.js'
import { SoakCall } from '../soak/soak-traffic.js'

const settings = loadExperiment(fileURLToPath(new URL('../../experiments/burst.toml', import.meta.url)))
const durationS = 400

test('arrivals are determined by seed, rates and burst', () => {
  const load = { ...settings.load, burst_at_s: 100, burst_for_s: 100 }
  const arrivals = planArrivals(load, durationS, 5)
  assert.deepEqual(arrivals, planArrivals(load, durationS, 5))
  const count = (kind: SoakCall, fromS: number): number =>
    arrivals.filter((arrival) => arrival.kind === kind && arrival.atMs >= fromS * 1000 && arrival.atMs < (fromS + 100) * 1000).length
  assert.ok(Math.abs(count(SoakCall.stream, 200) / 2000 - 1) < 0.1)
  assert.ok(Math.abs(count(SoakCall.stream, 100) / 4000 - 1) < 0.1)
  assert.ok(arrivals.every((arrival, index) => arrival.atMs >= (arrivals[index - 1]?.atMs ?? 0)))
})

test('a kind of call with rate 0 has no arrivals', () => {
  assert.deepEqual(planArrivals({ ...settings.load, streams_per_s: 0, bookings_per_s: 0, look_ups_per_s: 0 }, durationS, 1), [])
})

test('the error for an invalid settings file names every invalid field', () => {
  const text = '[experiment]\nname = ""\nseed = 1.5\nduration_s = 0\nhas_harm = true\n[system]\nnetwork = "10.0"\nentries = 0\nworkers = 1\nservices = 1\n'
  assert.throws(() => parseSettings(text, experimentSchema), (error: unknown) => {
    const message = getErrorMessage(error)
    return getErrorKind(error) === ErrorKind.settingsInvalid && ['name', 'seed', 'duration_s', 'network', 'entries', 'load'].every((field) => message.includes(field))
  })
  assert.throws(() => loadExperiment('missing.toml'), /cannot be read/)
})
