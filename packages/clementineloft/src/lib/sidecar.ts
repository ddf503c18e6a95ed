/**
 * The sidecar: the one door to the endpoint beside it.
 */
import type { ProcessContext } from './process-context.js'
import { NodeRuntime } from './node-runtime.js'
import { ServiceSidecar } from './service-sidecar.js'
import type { SidecarSettings } from './settings-schema.js'
import { createPlainCredentials } from './stage-link.js'
import { StageSidecar } from './stage-sidecar.js'

const moveMs = 10_000

/**
 * Starts a sidecar.
 *
 * @returns a function that shuts it down gracefully
 */
export const runSidecar = async (context: ProcessContext, settings: SidecarSettings): Promise<() => Promise<void>> => {
  const runtime = new NodeRuntime(context, createPlainCredentials())
  const guard = settings.engine !== undefined
    ? new StageSidecar(runtime, settings.engine)
    : new ServiceSidecar(runtime, settings.service as NonNullable<SidecarSettings['service']>)
  context.replica.subscribe((document) => {
    const state = document.endpoints[settings.instance.name]?.state
    if (state === 'leaving' || state === 'retired') guard.startLeaving()
  })
  runtime.admin.subscribeMembership(() => {
    if (context.membership.find(settings.instance.name)?.state === 'leaving') guard.startLeaving()
  })
  await runtime.start()
  return async () => {
    guard.startLeaving()
    runtime.startLeaving()
    const { grace_ms: graceMs } = settings.shutdown
    const moving = context.clock.schedule(graceMs, () => { guard.moveWork() })
    await runtime.drain(() => guard.countInFlight(), graceMs + moveMs)
    moving.cancel()
  }
}
