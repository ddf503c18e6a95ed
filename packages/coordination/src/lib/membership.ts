/**
 * The instances of the system, combined from the platform's list, which lags behind, and from what the instances
 * report of themselves.
 */

/** Roles of instances. */
export const InstanceRole = {
  entry: 'entry',
  sidecar: 'sidecar'
} as const
export type InstanceRole = typeof InstanceRole[keyof typeof InstanceRole]

/** One instance in the platform's list. */
export interface Instance {
  /** Name of the instance; a sidecar has the name of its endpoint. */
  name: string
  role: InstanceRole
  /** Address for calls between processes, `ip:port`. */
  address: string
  dataCentre: string
  state: 'live' | 'leaving'
}

/** The instances in one version of the list; with that version a client asks for a newer listing. */
export interface InstanceListing {
  version: string
  instances: Instance[]
}

/** A client of the platform's list of instances. */
export abstract class InstanceList {
  /**
   * @param knownVersion - version that the caller has; empty for none
   * @returns a newer listing, or `undefined` if there is none
   */
  abstract fetch (knownVersion: string): Promise<InstanceListing | undefined>
}

/**
 * The known state of all instances. An instance that reported that it is leaving is treated as leaving, even if a
 * stale list shows it as live, until an instance with another incarnation answers under the same name.
 */
export class Membership {
  private listing: InstanceListing = { version: '', instances: [] }
  private instancesByName = new Map<string, Instance>()
  private readonly leavingIncarnations = new Map<string, string>()
  private readonly incarnations = new Map<string, string>()
  private readonly restartListeners: Array<(name: string) => void> = []
  private readonly listeners: Array<() => void> = []

  /** @param listing - a newer listing */
  apply (listing: InstanceListing): void {
    this.listing = listing
    this.instancesByName = new Map(listing.instances.map((instance) => [instance.name, instance]))
    for (const name of this.leavingIncarnations.keys()) {
      if (!this.instancesByName.has(name)) this.leavingIncarnations.delete(name)
    }
    for (const listener of this.listeners) listener()
  }

  /** @param listener - called after each newer listing */
  subscribe (listener: () => void): void {
    this.listeners.push(listener)
  }

  /** @returns version of the listing in use */
  getVersion (): string {
    return this.listing.version
  }

  /** @returns all listed instances, including those that are leaving */
  list (): readonly Instance[] {
    return this.listing.instances
  }

  /** @returns the instance of that name, or `undefined` */
  find (name: string): Instance | undefined {
    return this.instancesByName.get(name)
  }

  /** @returns the incarnation that last answered under that name, or `undefined` */
  getIncarnation (name: string): string | undefined {
    return this.incarnations.get(name)
  }

  /**
   * Records which incarnation answered under a name, and notifies listeners if it differs from the previous one.
   *
   * @param name - name of the instance
   * @param incarnation - identity of its process
   */
  recordIncarnation (name: string, incarnation: string): void {
    const previous = this.incarnations.get(name)
    if (previous === incarnation) return
    this.incarnations.set(name, incarnation)
    if (previous === undefined) return
    for (const listener of this.restartListeners) listener(name)
  }

  /** @param listener - called with the name of an instance that has answered as a new process */
  subscribeRestarts (listener: (name: string) => void): void {
    this.restartListeners.push(listener)
  }

  /**
   * Records that an instance reported that it is leaving.
   *
   * @param name - name of the instance
   * @param incarnation - identity of the process that reported it
   */
  recordLeaving (name: string, incarnation: string): void {
    this.leavingIncarnations.set(name, incarnation)
  }

  /** @returns whether the instance is listed as live and has not reported that it is leaving */
  isServing (name: string): boolean {
    const instance = this.instancesByName.get(name)
    if (instance === undefined || instance.state !== 'live') return false
    const leaving = this.leavingIncarnations.get(name)
    return leaving === undefined || leaving !== this.incarnations.get(name)
  }
}
