/**
 * Unary gRPC calls to another process.
 */
import { Client } from '@grpc/grpc-js'
import type { ChannelCredentials, ServiceError } from '@grpc/grpc-js'
import { createError, ErrorKind, Outcome } from '@clementineloft/kernel'
import { grpcChannelOptions } from '../endpoints/stage-link.js'

/** A unary method of a service, with its codec. */
export interface UnaryMethod<RequestInput, Response> {
  path: string
  requestSerialize: (message: RequestInput) => Buffer
  responseDeserialize: (bytes: Buffer) => Response
}

/**
 * Error texts of gRPC and the operating system for a call that was never sent, since no connection was established. Such
 * a call has certainly not run, so a retry is safe.
 */
const noConnectionPattern = /ECONNREFUSED|EHOSTUNREACH|ENETUNREACH|^No connection established/

/** Client of one process. */
export class UnaryClient {
  private readonly client: Client

  /** @param address - address of the process, `ip:port` */
  constructor (
    private readonly address: string,
    channelCredentials: ChannelCredentials
  ) {
    this.client = new Client(address, channelCredentials, grpcChannelOptions)
  }

  /**
   * @param method - the method to call
   * @param message - the request
   * @param timeoutMs - time limit in milliseconds
   * @throws `endpoint-failed`: with outcome `not-run` if no connection was made, `unknown` otherwise
   */
  call<RequestInput, Response> (
    method: UnaryMethod<RequestInput, Response>,
    message: RequestInput,
    timeoutMs: number
  ): Promise<Response> {
    return new Promise((resolve, reject) => {
      const finish = (error: ServiceError | null, reply?: Response): void => {
        if (error === null && reply !== undefined) {
          resolve(reply)
          return
        }
        const outcome = noConnectionPattern.test(error?.details ?? '') ? Outcome.notRun : Outcome.unknown
        const text = `process at ${this.address} did not answer: ${error?.details ?? 'no reply'}`
        reject(createError(ErrorKind.endpointFailed, text, { outcome, cause: error }))
      }
      const options = { deadline: Date.now() + timeoutMs }
      this.client.makeUnaryRequest(method.path, method.requestSerialize, method.responseDeserialize, message, options, finish)
    })
  }

  /** Closes the connection. */
  close (): void {
    this.client.close()
  }
}
