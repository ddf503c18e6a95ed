/**
 * The entry that forwards calls whole to endpoints that pass work on among themselves.
 */
import { Freshness } from '@clementineloft/coordination'
import { RouteTable } from '@clementineloft/routing'
import { CallServer } from '../callers/call-server.js'
import { ReadinessServer } from '../callers/readiness-server.js'
import { ForwardingContext } from './forwarding-context.js'
import { ForwardingHost } from './forwarding-host.js'
import type { ForwardingEntrySettings } from './forwarding-settings.js'
import type { PlatformPorts } from './platform-ports.js'
import { ProcessParts } from './process-parts.js'
import { ReportReceiver } from './report-datagrams.js'
import type { ReportMessage } from './report-codec.js'

/** Part of the share of repeats that is used, since callers move between entries. */
const usedRetryRatio = 0.8
/** Time for which a leaving entry still takes connections: the platform asks twice, a second apart, before it stops. */
const lastConnectionsMs = 2500
/** Part of the grace after which connections are closed whatever runs. */
const usedGrace = 0.9
const drainPollMs = 50
/** Longest headers that the parser reads at all, in bytes; the configuration may allow less. */
const maxHeaderBytes = 65_536

const applyReport = (context: ForwardingContext, message: ReportMessage): void => {
  const silent = context.directory.applyReport(message.address, message.report, message.entries)
  if (silent !== undefined) {
    context.journal.record({ name: 'endpoint-silent', endpoint: silent.address, detail: 'its sidecar gets no answer' })
    for (const run of [...context.runs]) run.rescue?.handleSilence(silent)
  }
  context.resumeWaiting()
}

/**
 * Starts an entry.
 *
 * @returns a function that shuts it down gracefully
 */
export const runForwardingEntry = async (settings: ForwardingEntrySettings, ports: PlatformPorts): Promise<() => Promise<void>> => {
  const parts = new ProcessParts(settings, ports)
  const { clock, random, journal, metrics } = parts
  const { window_ms: windowMs, ratio, extra } = settings.retries
  const context = new ForwardingContext(ports.protocol, ports.pathOrders, clock, random, journal, metrics, settings.instance.data_centre, {
    windowMs, ratio: ratio * usedRetryRatio, extra
  })
  let hasConfig = false
  const [, reportsPort] = settings.instance.reports_address.split(':') as [string, string]
  const reports = new ReportReceiver(
    settings.instance.reports_address, () => context.directory.listEngineAddresses().map((address) => ({ address })), Number(reportsPort),
    (message) => {
      applyReport(context, message)
      if (message.checksums === undefined) return
      endpoints.noteChecksum(message.checksums.endpoints)
      config.noteChecksum(message.checksums.config)
    }, journal
  )
  let hasAsked = false
  const endpoints = parts.followEndpoints((list) => {
    for (const left of context.directory.applyEndpoints(list)) {
      journal.record({ name: 'endpoint-left', endpoint: left.address })
      for (const run of [...context.runs]) run.rescue?.handleLeaving(left)
    }
    context.resumeWaiting()
    if (!hasAsked) reports.ask()
    hasAsked = true
  }, Freshness.stale)
  const host = new ForwardingHost(context)
  const server = new CallServer(ports.protocol, host, clock, maxHeaderBytes)
  const readiness = new ReadinessServer(ports.protocol, () => hasConfig && endpoints.hasListed() && !context.isLeaving)
  const config = parts.followConfig((newer) => {
    hasConfig = true
    context.directory.applyServices(newer.services)
    host.applyRoutes(new RouteTable(newer))
    server.applyLimits({ ...newer.limits, requestTimeoutMs: 0 })
  }, Freshness.stale)
  await Promise.all([server.listen(settings.callers.address), readiness.listen(settings.callers.readiness_address)])
  context.startChecks()
  parts.listenForMetrics()
  journal.record({ name: 'started', data: { role: 'entry', incarnation: parts.incarnation } })
  return async () => {
    context.isLeaving = true
    journal.record({ name: 'leaving', data: { calls: context.runs.size } })
    const startMs = clock.now()
    await clock.wait(lastConnectionsMs)
    host.refuseNew()
    server.closeIdle()
    while (context.runs.size > 0 && clock.now() - startMs < settings.shutdown.grace_ms * usedGrace) {
      await clock.wait(drainPollMs)
      server.closeIdle()
    }
    endpoints.stop()
    config.stop()
    reports.close()
    server.close()
    readiness.close()
    context.close()
    journal.record({ name: 'stopped', data: { left: context.runs.size } })
  }
}
