/**
 * What a platform gives a process that forwards calls: the store and the meaning of the objects in it, the protocol of
 * callers and endpoints, and orders to model endpoints.
 */
import type { KindObject, KindStore } from '@clementineloft/coordination'
import type { Metrics } from '@clementineloft/kernel'
import type { CallConfig, CallEndpoint, PathPart, ReportingEngine } from '@clementineloft/routing'
import type { CallProtocol } from './call-protocol.js'

/** Kinds and names of objects that others write. */
export interface PlatformKinds {
  /** Kind of the entries of endpoints. */
  endpoints: string
  /** Kind of the operators' configuration. */
  config: string
  /** Name of the configuration in force. */
  configName: string
}

/** What came of an order to change a path. */
export const PathChange = {
  done: 'done',
  /** A part of the new path is not there or has no room; the old path stays. */
  partUnavailable: 'part-unavailable',
  /** The first endpoint does not run the call any more. */
  callUnknown: 'call-unknown'
} as const
export type PathChange = typeof PathChange[keyof typeof PathChange]

/** Orders that concern single calls. */
export abstract class PathOrders {
  /**
   * Lets a running stream go on over other endpoints.
   *
   * @param callId - identity of the call
   * @param parts - the whole new path; its first part is the same as before
   */
  abstract changePath (callId: string, parts: readonly PathPart[]): Promise<PathChange>
}

/** One platform. */
export abstract class PlatformPorts {
  abstract readonly kinds: PlatformKinds
  abstract readonly protocol: CallProtocol
  abstract readonly pathOrders: PathOrders

  /** @returns a client of the store */
  abstract createStore (address: string, metrics: Metrics): KindStore

  /**
   * @returns the endpoint that an entry of the list describes
   * @throws `bad-request` that names the field at fault
   */
  abstract parseEndpoint (object: KindObject): CallEndpoint

  /**
   * @returns the configuration in an object
   * @throws `bad-request` that names the field at fault
   */
  abstract parseConfig (object: KindObject): CallConfig

  /** @returns orders to the model endpoint of a service at an address */
  abstract createEngine (address: string, service: string): ReportingEngine
}
