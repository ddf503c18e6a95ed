/**
 * Entry process that forwards complete calls to endpoints, which pass the work along a path among themselves.
 */
import { Freshness } from '@clementineloft/coordination'
import { Announcement, RouteTable } from '@clementineloft/routing'
import { CallServer } from '../callers/call-server.js'
import { drainCalls } from '../callers/drain-calls.js'
import { computeMaxConnections } from '../callers/connection-limiter.js'
import { processMemory } from '../callers/process-memory.js'
import { ReadinessServer } from '../callers/readiness-server.js'
import { ForwardingContext } from './forwarding-context.js'
import { ForwardingHost } from './forwarding-host.js'
import type { ForwardingEntrySettings } from './forwarding-settings.js'
import type { PlatformPorts } from './platform-ports.js'
import { ForwardingProcess } from './forwarding-process.js'
import { NoticeBatcher } from './notice-batcher.js'
import { pickRelays, ReportReceiver } from './report-datagrams.js'
import type { ReportMessage, ReportRequest } from './report-codec.js'

/** Factor on the configured retry ratio: it leaves a margin, since callers move between entries. */
const retryRatioFactor = 0.8
/** Number of notices of crashes with each report request; successive requests go through all of them. */
const maxNoticesPerRequest = 1
/** Maximum size of headers that the HTTP parser accepts, in bytes; the configuration may set a lower limit. */
const maxHeaderBytes = 65_536

/** @returns requests for reports, to the sidecars of all services or of one */
const listRequests = ({ directory, rankAdmission }: ForwardingContext, service?: string): ReportRequest[] =>
  directory.listEngineAddresses().flatMap((address) => {
    const endpointService = directory.findByAddress(address)?.service ?? ''
    return service === undefined || service === endpointService ? [{ address, waiting: rankAdmission.listWaiting(endpointService) }] : []
  })

const applyReport = (context: ForwardingContext, message: ReportMessage): void => {
  const silent = context.directory.applyReport(message.address, message.report, message.entries)
  context.rankAdmission.applySums(message.address, message.waiting, message.entries)
  if (silent !== undefined) {
    context.journal.record({ name: 'endpoint-silent', endpoint: silent.address, detail: 'the endpoint does not answer its sidecar' })
    context.crashes.recordSilence(silent)
    for (const run of [...context.runs]) {
      run.recordSilence(silent)
      run.failover?.handleSilentEndpoint(silent)
    }
  }
  context.resumeWaiting()
}

/**
 * Starts an entry process.
 *
 * @returns a function that drains calls and shuts the process down
 */
export const runForwardingEntry = async (settings: ForwardingEntrySettings, ports: PlatformPorts): Promise<() => Promise<void>> => {
  const processContext = new ForwardingProcess(settings, ports)
  const { clock, random, journal, metrics } = processContext
  const { window_ms: windowMs, ratio, extra } = settings.retries
  const context = new ForwardingContext(ports.protocol, ports.pathOrders, clock, random, journal, metrics, settings.instance.data_centre, {
    windowMs, ratio: ratio * retryRatioFactor, extra
  })
  if (settings.answers.reserve_memory) context.directory.startReserving()
  context.limitsStarts = settings.starts.limit
  let hasConfig = false
  const [, reportsPort] = settings.instance.reports_address.split(':') as [string, string]
  const reports = new ReportReceiver(
    settings.instance.reports_address, () => listRequests(context).map((request) => ({ ...request, crashes: context.crashes.listNextNotices(maxNoticesPerRequest) })),
    Number(reportsPort),
    (message) => {
      applyReport(context, message)
      if (message.checksums === undefined) return
      endpoints.compareChecksum(message.checksums.endpoints)
      config.compareChecksum(message.checksums.config)
    }, journal, (notices) => { context.crashes.applyNotices(notices) }
  )
  context.rankAdmission.subscribe((service, announcement) => {
    const requests = listRequests(context, service)
    reports.sendRequests(announcement === Announcement.some ? pickRelays(requests, random) : requests)
  })
  const news = new NoticeBatcher(clock, (notices) => { reports.sendCrashes(notices, random) })
  context.crashes.subscribe({
    handleQuarantine: () => {
      for (const run of [...context.runs]) run.handleQuarantine()
    },
    handleNews: (notices) => { news.add(notices) }
  })
  let hasSubscribed = false
  const endpoints = processContext.followEndpoints((list) => {
    for (const left of context.directory.applyEndpoints(list)) context.notifyLeaving(left, 'marked as leaving, or missing, in the list of endpoints')
    context.resumeWaiting()
    if (!hasSubscribed) reports.renewSubscriptions()
    hasSubscribed = true
  }, Freshness.stale)
  const host = new ForwardingHost(context)
  const server = new CallServer(ports.protocol, host, clock, maxHeaderBytes)
  const { memory_mb: memoryMb, max_fds: maxFds } = settings.limits
  if (memoryMb !== undefined) processMemory.applyMemoryLimit(memoryMb)
  if (maxFds !== undefined) server.applyMaxConnections(computeMaxConnections(maxFds))
  processMemory.subscribe({ journal, metrics })
  const readiness = new ReadinessServer(ports.protocol, () => hasConfig && endpoints.hasListed() && !context.isLeaving)
  const config = processContext.followConfig((newConfig) => {
    hasConfig = true
    context.directory.applyServices(newConfig.services)
    context.rankAdmission.applyConfig(newConfig)
    host.applyRoutes(new RouteTable(newConfig))
    server.applyLimits({ ...newConfig.limits, requestTimeoutMs: 0 })
  }, Freshness.stale)
  await Promise.all([server.listen(settings.callers.address), readiness.listen(settings.callers.readiness_address)])
  context.startChecks()
  processContext.listenForMetrics()
  journal.record({ name: 'started', data: { role: 'entry', incarnation: processContext.incarnation } })
  return async () => {
    context.isLeaving = true
    journal.record({ name: 'leaving', data: { calls: context.runs.size } })
    const left = await drainCalls({
      server,
      clock,
      limitMs: settings.shutdown.grace_ms,
      acceptsConnections: true,
      endCalls: () => {
        for (const run of [...context.runs]) run.handleShutdown()
      }
    })
    endpoints.stop()
    config.stop()
    reports.close()
    server.close()
    readiness.close()
    context.close()
    journal.record({ name: 'stopped', data: { left } })
  }
}
