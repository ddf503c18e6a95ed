/**
 * Failover of a running stream when an endpoint of its path stalls, becomes silent or leaves.
 *
 * The stream is rerouted around the endpoint, so that the other endpoints keep its cached tokens. Where that is not
 * possible, the call may be retried over another path.
 *
 * When one endpoint fails, many streams stall at once, and retrying them all would add load while capacity is lost.
 * Only endpoints without evidence of life are therefore suspected, and a stream whose path works for other streams gets
 * a longer timeout.
 */
import { getErrorMessage } from '@clementineloft/kernel'
import { FailureEvidence } from '@clementineloft/routing'
import type { CallEndpoint, PathPart } from '@clementineloft/routing'
import type { Placement } from './call-placement.js'
import type { ForwardingContext } from './forwarding-context.js'
import { PathChangeResult } from './platform-ports.js'
import type { CallFailover } from './running-call.js'

/** Time without an event after which another path is tried, in milliseconds. */
const StallTimeoutMs = {
  /** If an endpoint of the path is suspected: under a third of the silence after which callers disconnect. */
  suspected: 600,
  /**
   * If all endpoints work for other streams, so that a retry would only add load: still shorter than the silence after
   * which callers disconnect.
   */
  unsuspected: 1600
} as const

/**
 * Span over which streams are rerouted around a leaving endpoint, in milliseconds. Many streams end by themselves within
 * it, and the tokens of the others are not all recomputed at once. A leaving endpoint serves for longer than this.
 */
const leavingRerouteSpreadMs = 1200

/**
 * Time for which an endpoint that does not answer its sidecar keeps its streams after one of them has advanced, in
 * milliseconds: a few events, so that an endpoint that is only slow to report loses none.
 */
const silentProgressMs = 100

/** A running stream, as seen by its failover. */
export interface RunningStream {
  /** Identity of the call. */
  readonly id: string
  readonly service: string
  /** @returns the current placement; `undefined` if the stream has ended or is queued */
  getPlacement: () => Placement | undefined
  /** @returns time of the last event, or of the start of the attempt or change of path, in milliseconds of the clock */
  getLastProgressMs: () => number
  /** Replaces the parts of the current placement, after the path was changed. */
  changeParts: (parts: PathPart[]) => void
  /** Cancels the current attempt and retries over another path, if there is one. */
  abandonPath: (reason: string) => void
  /** Records an event of the call in the journal. */
  record: (name: string, data: Record<string, string | number | boolean>) => void
}

const hasEndpoint = (parts: readonly PathPart[], endpoint: CallEndpoint): boolean =>
  parts.some((part) => part.endpoint.id === endpoint.id)

/** Detects the stall of one stream and reroutes it. At most one change of path is in progress at a time. */
export class StreamFailover implements CallFailover {
  private isRerouting = false
  /** Whether the current stall is already in the journal. */
  private isStallRecorded = false

  constructor (
    private readonly context: ForwardingContext,
    private readonly stream: RunningStream
  ) {}

  /** Records that the stream has delivered an event. */
  recordProgress (): void {
    this.isStallRecorded = false
  }

  /** @returns whether the time since the last event exceeds the timeout that applies */
  isStalled (nowMs: number): boolean {
    const placement = this.stream.getPlacement()
    if (placement === undefined) return false
    const silentMs = nowMs - this.stream.getLastProgressMs()
    if (silentMs <= StallTimeoutMs.suspected) return false
    return silentMs > StallTimeoutMs.unsuspected || this.context.directory.listSuspects(placement.parts ?? []).length > 0
  }

  /** Reroutes a stalled stream around the suspected endpoints, or retries it over another path. */
  handleStall (): void {
    const { directory, clock } = this.context
    const parts = this.stream.getPlacement()?.parts ?? []
    const suspects = directory.listSuspects(parts).map((part) => part.endpoint)
    for (const { id } of suspects) directory.health.recordFailure(id, FailureEvidence.lost)
    if (!this.isStallRecorded) this.stream.record('stream-stopped', { suspects: suspects.map((endpoint) => endpoint.address).join(' ') })
    this.isStallRecorded = true
    const canReroute = suspects.length > 0 && suspects[0]?.id !== parts[0]?.endpoint.id
    if (!canReroute) {
      this.stream.abandonPath('no event arrived within the stall timeout')
      return
    }
    const isTimeoutExceeded = clock.now() - this.stream.getLastProgressMs() > StallTimeoutMs.unsuspected
    void this.rerouteAround(suspects, 'no event arrived within the stall timeout', isTimeoutExceeded)
  }

  /** Reroutes the stream around an endpoint that does not answer its sidecar, as soon as no stream advances through it. */
  handleSilentEndpoint (endpoint: CallEndpoint): void {
    const parts = this.stream.getPlacement()?.parts
    if (parts === undefined || !hasEndpoint(parts, endpoint)) return
    const { clock, directory } = this.context
    if (directory.progress.hasAdvanced(endpoint.id, silentProgressMs)) {
      clock.schedule(silentProgressMs, () => {
        if (directory.isSilent(endpoint)) this.handleSilentEndpoint(endpoint)
      })
      return
    }
    if (parts[0]?.endpoint.id === endpoint.id) this.stream.abandonPath('the first endpoint does not answer its sidecar')
    else void this.rerouteAround([endpoint], 'the endpoint does not answer its sidecar', false)
  }

  /** Reroutes the stream around a leaving endpoint. The first endpoint of a path finishes its streams instead. */
  handleLeavingEndpoint (endpoint: CallEndpoint): void {
    if (!this.isAfterFirst(endpoint)) return
    const { clock, random } = this.context
    clock.schedule(random.next() * leavingRerouteSpreadMs, () => {
      if (this.isAfterFirst(endpoint)) void this.rerouteAround([endpoint], 'the endpoint is leaving', false)
    })
  }

  private isAfterFirst (endpoint: CallEndpoint): boolean {
    const parts = this.stream.getPlacement()?.parts
    return parts !== undefined && hasEndpoint(parts.slice(1), endpoint)
  }

  /** @param canAbandonPath - whether to retry over another path if the stream cannot be rerouted now */
  private async rerouteAround (failed: readonly CallEndpoint[], reason: string, canAbandonPath: boolean): Promise<void> {
    const previousPlacement = this.stream.getPlacement()
    if (this.isRerouting || previousPlacement?.parts === undefined) return
    this.isRerouting = true
    const change = await this.changePath(previousPlacement, failed, reason)
    this.isRerouting = false
    if (this.stream.getPlacement() !== previousPlacement || change === PathChangeResult.done) return
    if (canAbandonPath || change === PathChangeResult.callUnknown) this.stream.abandonPath('the stream could not be rerouted')
  }

  private async changePath (previousPlacement: Placement, failed: readonly CallEndpoint[], reason: string): Promise<PathChangeResult> {
    const { placement: callPlacement, pathOrders } = this.context
    const { stream } = this
    if (previousPlacement.parts === undefined || previousPlacement.size === undefined) return PathChangeResult.callUnknown
    const newParts = callPlacement.findAlternativePath(stream.service, previousPlacement.parts, previousPlacement.size, new Set(failed.map((endpoint) => endpoint.id)))
    if (newParts === undefined) return PathChangeResult.partUnavailable
    const change = await pathOrders.changePath(stream.id, newParts).catch((error: unknown) => {
      stream.record('detour-unanswered', { reason: getErrorMessage(error) })
      return PathChangeResult.callUnknown
    })
    if (stream.getPlacement() !== previousPlacement) return change
    stream.record('detour', { reason, change, failed: failed.map((endpoint) => endpoint.address).join(' ') })
    if (change === PathChangeResult.done) stream.changeParts(newParts)
    return change
  }
}
