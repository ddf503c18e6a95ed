/**
 * Finds the route and the team of a call.
 *
 * Addresses configurations with hundreds of routes: a lookup takes as many steps as the path has segments, independent of
 * the number of routes.
 */
import type { CallConfig, CallRoute, CallTeam } from './call-config.js'

/** Routes and keys of one configuration, indexed. */
export class RouteTable {
  private readonly routesByHost = new Map<string, Map<string, CallRoute>>()
  private readonly teamsByKey = new Map<string, CallTeam>()

  /** @param config - the configuration to index */
  constructor (readonly config: CallConfig) {
    for (const route of config.routes) {
      const routes = this.routesByHost.get(route.host) ?? new Map<string, CallRoute>()
      routes.set(route.pathPrefix, route)
      this.routesByHost.set(route.host, routes)
    }
    for (const team of config.teams) {
      for (const key of team.keys) this.teamsByKey.set(key, team)
    }
  }

  /**
   * @param host - requested host, without a port
   * @param path - path without the query
   * @returns the route with the longest matching path prefix, or `undefined`
   */
  findRoute (host: string, path: string): CallRoute | undefined {
    const routes = this.routesByHost.get(host)
    if (routes === undefined) return undefined
    for (let end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
      const route = routes.get(path.slice(0, end + 1))
      if (route !== undefined) return route
      if (end === 0) return undefined
    }
    return undefined
  }

  /** @returns the team that holds the key, or `undefined` */
  findTeam (key: string): CallTeam | undefined {
    return this.teamsByKey.get(key)
  }

  /** @returns whether teams are configured, so that calls require a key */
  hasTeams (): boolean {
    return this.config.teams.length > 0
  }
}
