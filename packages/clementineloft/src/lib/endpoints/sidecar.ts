/**
 * The sidecar process: all requests to an endpoint pass through the sidecar next to it.
 */
import type { ProcessContext } from '../peers/process-context.js'
import { ProcessRuntime } from '../peers/process-runtime.js'
import { ServiceSidecar } from './service-sidecar.js'
import type { SidecarSettings } from '../settings/settings-schema.js'
import { StageSidecar } from './stage-sidecar.js'

const evictionTimeoutMs = 10_000

/**
 * Starts a sidecar. It leaves when the process shuts down, or when the configuration or the instance list says so.
 *
 * @returns a function that shuts it down gracefully: it refuses new work, evicts what remains after the grace
 *   period, and then waits for the evicted requests to move
 */
export const runSidecar = async (context: ProcessContext, settings: SidecarSettings): Promise<() => Promise<void>> => {
  const runtime = new ProcessRuntime(context)
  const endpointSidecar = settings.engine !== undefined
    ? new StageSidecar(runtime, settings.engine)
    : new ServiceSidecar(runtime, settings.service as NonNullable<SidecarSettings['service']>)
  const { name } = settings.instance
  const applyLeaving = (): void => {
    const state = context.replica.getDocument()?.endpoints[name]?.state
    const isLeavingInConfig = state === 'leaving' || state === 'retired'
    const isLeavingInInstanceList = context.membership.find(name)?.state === 'leaving'
    endpointSidecar.setLeaving(context.isLeaving || isLeavingInConfig || isLeavingInInstanceList)
  }
  context.replica.subscribe(applyLeaving)
  context.membership.subscribe(applyLeaving)
  await runtime.start()
  return async () => {
    runtime.startLeaving()
    applyLeaving()
    const { grace_ms: graceMs } = settings.shutdown
    const evictionTimer = context.clock.schedule(graceMs, () => { endpointSidecar.evictAll() })
    await runtime.drain(() => endpointSidecar.countInFlight(), graceMs + evictionTimeoutMs)
    evictionTimer.cancel()
  }
}
