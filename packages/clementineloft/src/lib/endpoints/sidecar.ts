/**
 * The sidecar: the one door to the endpoint beside it.
 */
import type { ProcessContext } from '../peers/process-context.js'
import { NodeRuntime } from '../peers/node-runtime.js'
import { ServiceSidecar } from './service-sidecar.js'
import type { SidecarSettings } from '../settings/settings-schema.js'
import { StageSidecar } from './stage-sidecar.js'

const moveMs = 10_000

/**
 * Starts a sidecar.
 *
 * @returns a function that shuts it down gracefully
 */
export const runSidecar = async (context: ProcessContext, settings: SidecarSettings): Promise<() => Promise<void>> => {
  const runtime = new NodeRuntime(context)
  const guard = settings.engine !== undefined
    ? new StageSidecar(runtime, settings.engine)
    : new ServiceSidecar(runtime, settings.service as NonNullable<SidecarSettings['service']>)
  const { name } = settings.instance
  const applyLeaving = (): void => {
    const state = context.replica.getDocument()?.endpoints[name]?.state
    const isRetired = state === 'leaving' || state === 'retired'
    const isListedLeaving = context.membership.find(name)?.state === 'leaving'
    guard.setLeaving(context.isLeaving || isRetired || isListedLeaving)
  }
  context.replica.subscribe(applyLeaving)
  context.membership.subscribe(applyLeaving)
  await runtime.start()
  return async () => {
    runtime.startLeaving()
    applyLeaving()
    const { grace_ms: graceMs } = settings.shutdown
    const moving = context.clock.schedule(graceMs, () => { guard.moveWork() })
    await runtime.drain(() => guard.countInFlight(), graceMs + moveMs)
    moving.cancel()
  }
}
