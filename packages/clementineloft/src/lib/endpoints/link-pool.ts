/**
 * Pools the links of one process: one link per sidecar, shared by all requests.
 */
import type { ChannelCredentials } from '@grpc/grpc-js'
import type { Frame } from '@clementineloft/routing'
import type { clementineloft as wire } from '../../../generated/wire.js'
import type { ProcessContext } from '../peers/process-context.js'
import { StageLink } from './stage-link.js'

/** Receives the events of all links of a pool. */
export abstract class LinkListener {
  /** Called for each frame from a sidecar. */
  abstract handleFrame (endpoint: string, frame: Frame): void
  /** Called for the header of each message from a sidecar, before its frames. */
  abstract handleHeader (endpoint: string, header: wire.IHeader): void
  /** Called once for each lost link. */
  abstract handleLost (endpoint: string, cause: string): void
}

/** Opens links on first use. A link is replaced when the address of its sidecar changes. */
export class LinkPool {
  private readonly links = new Map<string, StageLink>()

  constructor (
    private readonly context: ProcessContext,
    private readonly channelCredentials: ChannelCredentials,
    private readonly listener: LinkListener
  ) {}

  /** @returns number of open links */
  countLinks (): number {
    return this.links.size
  }

  /**
   * Sends a frame, opening a link if there is none.
   *
   * @param endpoint - name of the endpoint
   * @param address - address of its sidecar, `ip:port`
   * @param frame - frame to send
   */
  send (endpoint: string, address: string, frame: Frame): void {
    this.getLink(endpoint, address).send(frame)
  }

  /** @param names - endpoints that still exist; links to all others are closed */
  retain (names: ReadonlySet<string>): void {
    for (const [endpoint, link] of this.links) {
      if (names.has(endpoint)) continue
      link.close()
      this.links.delete(endpoint)
      this.listener.handleLost(endpoint, 'the endpoint no longer exists')
    }
  }

  /** Closes all links. */
  close (): void {
    for (const link of this.links.values()) link.close()
    this.links.clear()
  }

  private getLink (endpoint: string, address: string): StageLink {
    const existing = this.links.get(endpoint)
    if (existing?.address === address) return existing
    existing?.close()
    const link = new StageLink(address, this.context, this.channelCredentials, {
      handleBatch: (batch) => { this.handleBatch(endpoint, batch) },
      handleLost: (cause) => {
        if (this.links.get(endpoint) === link) this.links.delete(endpoint)
        this.listener.handleLost(endpoint, cause)
      }
    })
    this.links.set(endpoint, link)
    return link
  }

  private handleBatch (endpoint: string, batch: wire.IBatch): void {
    this.context.mergeHeader(batch.header)
    if (batch.header != null) this.listener.handleHeader(endpoint, batch.header)
    for (const frame of batch.frames ?? []) this.listener.handleFrame(endpoint, frame as Frame)
  }
}
