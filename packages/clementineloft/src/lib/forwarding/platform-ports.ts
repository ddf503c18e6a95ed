/**
 * Interfaces that a platform implements for processes that forward calls: the object store and the parsing of its
 * objects, the protocol of callers and endpoints, and orders to model endpoints.
 */
import type { KindObject, KindStore } from '@clementineloft/coordination'
import type { Metrics } from '@clementineloft/kernel'
import type { CallConfig, CallEndpoint, PathPart, ReportingEngine } from '@clementineloft/routing'
import type { CallProtocol } from './call-protocol.js'

/** Kinds and names of objects written by the platform and its operators. */
export interface PlatformKinds {
  /** Kind of the endpoints' entries in the list. */
  endpoints: string
  /** Kind of the operators' configuration. */
  config: string
  /** Name of the object with the current configuration. */
  configName: string
}

/** Result of an order to change the path of a stream. */
export const PathChangeResult = {
  done: 'done',
  /** A part of the new path is unavailable or has no free capacity; the old path remains in use. */
  partUnavailable: 'part-unavailable',
  /** The first endpoint no longer runs the call. */
  callUnknown: 'call-unknown'
} as const
export type PathChangeResult = typeof PathChangeResult[keyof typeof PathChangeResult]

/** Orders for single calls. */
export abstract class PathOrders {
  /**
   * Orders a running stream to continue over other endpoints.
   *
   * @param callId - identity of the call
   * @param parts - the complete new path; its first part is the same as before
   * @returns the result; rejects if the outcome is unknown
   */
  abstract changePath (callId: string, parts: readonly PathPart[]): Promise<PathChangeResult>
}

/** A platform on which calls are forwarded. */
export abstract class PlatformPorts {
  abstract readonly kinds: PlatformKinds
  abstract readonly protocol: CallProtocol
  abstract readonly pathOrders: PathOrders

  /** @returns a client of the object store at an address */
  abstract createStore (address: string, metrics: Metrics): KindStore

  /**
   * @returns the endpoint described by an entry of the list
   * @throws `bad-request` that names the invalid field
   */
  abstract parseEndpoint (object: KindObject): CallEndpoint

  /**
   * @returns the configuration in an object
   * @throws `bad-request` that names the invalid field
   */
  abstract parseConfig (object: KindObject): CallConfig

  /** @returns a client that sends orders to the model endpoint of a service at an address */
  abstract createEngine (address: string, service: string): ReportingEngine
}
