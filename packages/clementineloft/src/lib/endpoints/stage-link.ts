/**
 * One bidirectional gRPC stream of frames to a sidecar. Frames of the same event loop turn are sent in one message.
 */
import { Client } from '@grpc/grpc-js'
import type { ChannelCredentials, ClientDuplexStream } from '@grpc/grpc-js'
import type { Frame } from '@clementineloft/routing'
import type { clementineloft as wire } from '../../../generated/wire.js'
import { FrameBatcher } from './frame-batcher.js'
import { sidecarService } from '../peers/grpc-services.js'
import type { ProcessContext } from '../peers/process-context.js'

/** Channel options of all gRPC clients and servers of the system. */
export const grpcChannelOptions = {
  'grpc.max_receive_message_length': 64 * 1024 * 1024,
  'grpc.max_send_message_length': 64 * 1024 * 1024,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1000
}

/** Handlers of the events of a link. */
export interface LinkHandlers {
  handleBatch: (batch: wire.IBatch) => void
  /** Called once; the link cannot be used afterwards. */
  handleLost: (cause: string) => void
}

/** A stream to one sidecar. */
export class StageLink {
  private readonly client: Client
  private readonly stream: ClientDuplexStream<wire.IBatch, wire.Batch>
  private readonly batcher = new FrameBatcher((frames) => { this.write(frames) })
  private isLost = false

  /**
   * @param address - address of the sidecar, `ip:port`
   * @param context - creates the header of each message
   */
  constructor (
    readonly address: string,
    private readonly context: ProcessContext,
    channelCredentials: ChannelCredentials,
    private readonly handlers: LinkHandlers
  ) {
    this.client = new Client(address, channelCredentials, grpcChannelOptions)
    const { path, requestSerialize, responseDeserialize } = sidecarService.connect
    this.stream = this.client.makeBidiStreamRequest(path, requestSerialize, responseDeserialize)
    this.stream.on('data', (batch: wire.Batch) => { this.handlers.handleBatch(batch) })
    this.stream.on('error', (error) => { this.markLost(error.message) })
    this.stream.on('end', () => { this.markLost('the sidecar ended the stream') })
  }

  /** @param frame - frame to send; dropped if the link is lost or closed */
  send (frame: Frame): void {
    if (!this.isLost) this.batcher.add(frame)
  }

  /** Closes the link without reporting it as lost. */
  close (): void {
    this.isLost = true
    this.stream.cancel()
    this.client.close()
  }

  private write (frames: Frame[]): void {
    if (!this.isLost) this.stream.write({ header: this.context.createHeader(), frames })
  }

  private markLost (cause: string): void {
    if (this.isLost) return
    this.isLost = true
    this.client.close()
    this.handlers.handleLost(cause)
  }
}
