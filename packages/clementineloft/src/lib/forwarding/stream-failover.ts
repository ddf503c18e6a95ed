/**
 * Keeps a running stream going when a part of its path stops, falls silent or leaves.
 *
 * The stream is led around the part, so that the other parts keep its memory; where that is not possible, it may be
 * sent again over another path. Answers the load pattern in which many streams lose the same endpoint at once: only
 * parts that show no sign of life are suspected, and a stream on a path that works for others is left alone longer.
 */
import { getErrorMessage } from '@clementineloft/kernel'
import { Evidence } from '@clementineloft/routing'
import type { CallEndpoint, PathPart } from '@clementineloft/routing'
import type { Placement } from './call-placement.js'
import type { ForwardingContext } from './forwarding-context.js'
import { PathChange } from './platform-ports.js'

/** Longest silence of a stream before another path is tried, in milliseconds. */
const StallTimeoutMs = {
  /** Where a part of the path shows no sign of life: under a third of the gap at which callers leave. */
  suspected: 600,
  /** Where all parts work for other streams, so that a repeat would only add to the load: before callers leave. */
  unsuspected: 1600
} as const

/**
 * Span over which streams are led around an endpoint that is leaving, in milliseconds: many end by themselves meanwhile,
 * and the others do not all have their tokens read again at the same moment. An endpoint serves for longer than this.
 */
const leavingRerouteSpreadMs = 1200

/** A stream as its rescue sees it. */
export interface RunningStream {
  /** Identity of the call. */
  readonly id: string
  readonly service: string
  /** @returns where the stream runs; `undefined` if it is over or waits for a place */
  getPlacement: () => Placement | undefined
  /** @returns when the stream last brought an event, or began, in milliseconds of the clock */
  getLastProgressMs: () => number
  /** Goes on over other parts from now on. */
  changeParts: (parts: PathPart[]) => void
  /** Leaves the present path and goes on over another, if there is one. */
  abandonPath: (reason: string) => void
  /** Writes a line on a decision. */
  record: (name: string, data: Record<string, string | number | boolean>) => void
}

const hasEndpoint = (parts: readonly PathPart[], endpoint: CallEndpoint): boolean =>
  parts.some((part) => part.endpoint.id === endpoint.id)

/** Watches over one stream. */
export class StreamFailover {
  private isRerouting = false
  /** Whether the stream stands still and that was recorded. */
  private isStallRecorded = false

  constructor (
    private readonly context: ForwardingContext,
    private readonly stream: RunningStream
  ) {}

  /** Notes that the stream has brought an event. */
  recordProgress (): void {
    this.isStallRecorded = false
  }

  /** @returns whether the stream has waited too long for an event */
  isStalled (nowMs: number): boolean {
    const placement = this.stream.getPlacement()
    if (placement === undefined) return false
    const silentMs = nowMs - this.stream.getLastProgressMs()
    if (silentMs <= StallTimeoutMs.suspected) return false
    return silentMs > StallTimeoutMs.unsuspected || this.context.directory.listSuspects(placement.parts ?? []).length > 0
  }

  /** Leads a stream that has stopped around the parts at fault, or moves it to another path. */
  handleStall (): void {
    const { directory, clock } = this.context
    const parts = this.stream.getPlacement()?.parts ?? []
    const suspects = directory.listSuspects(parts).map((part) => part.endpoint)
    for (const { id } of suspects) directory.health.recordFailure(id, Evidence.lost)
    if (!this.isStallRecorded) this.stream.record('stream-stopped', { suspects: suspects.map((endpoint) => endpoint.address).join(' ') })
    this.isStallRecorded = true
    const canReroute = suspects.length > 0 && suspects[0]?.id !== parts[0]?.endpoint.id
    if (!canReroute) {
      this.stream.abandonPath('the stream has stopped')
      return
    }
    const isTimeoutExceeded = clock.now() - this.stream.getLastProgressMs() > StallTimeoutMs.unsuspected
    void this.rerouteAround(suspects, 'the stream has stopped', isTimeoutExceeded)
  }

  /** Leads the stream around an endpoint that has stopped answering the sidecar beside it. */
  handleSilentEndpoint (endpoint: CallEndpoint): void {
    const parts = this.stream.getPlacement()?.parts
    if (parts === undefined || !hasEndpoint(parts, endpoint)) return
    if (parts[0]?.endpoint.id === endpoint.id) this.stream.abandonPath('the first endpoint does not answer its sidecar')
    else void this.rerouteAround([endpoint], 'the endpoint does not answer its sidecar', false)
  }

  /** Leads the stream around an endpoint that is leaving; one that leaves as the first part finishes what it has. */
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

  /** @param isLast - whether the stream moves to another path if no way around is found now */
  private async rerouteAround (failed: readonly CallEndpoint[], reason: string, isLast: boolean): Promise<void> {
    const previousPlacement = this.stream.getPlacement()
    if (this.isRerouting || previousPlacement?.parts === undefined) return
    this.isRerouting = true
    const change = await this.changePath(previousPlacement, failed, reason)
    this.isRerouting = false
    if (this.stream.getPlacement() !== previousPlacement || change === PathChange.done) return
    if (isLast || change === PathChange.callUnknown) this.stream.abandonPath('the path could not be changed')
  }

  private async changePath (previousPlacement: Placement, failed: readonly CallEndpoint[], reason: string): Promise<PathChange> {
    const { placement: places, pathOrders } = this.context
    const { stream } = this
    if (previousPlacement.parts === undefined || previousPlacement.size === undefined) return PathChange.callUnknown
    const detour = places.findAlternativePath(stream.service, previousPlacement.parts, previousPlacement.size, new Set(failed.map((endpoint) => endpoint.id)))
    if (detour === undefined) return PathChange.partUnavailable
    const change = await pathOrders.changePath(stream.id, detour).catch((error: unknown) => {
      stream.record('detour-unanswered', { reason: getErrorMessage(error) })
      return PathChange.callUnknown
    })
    if (stream.getPlacement() !== previousPlacement) return change
    stream.record('detour', { reason, change, failed: failed.map((endpoint) => endpoint.address).join(' ') })
    if (change === PathChange.done) stream.changeParts(detour)
    return change
  }
}
