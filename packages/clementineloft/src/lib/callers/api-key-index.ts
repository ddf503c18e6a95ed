/**
 * Authenticates callers: finds the team to which an API key belongs.
 */
import { computeDigest, createError, ErrorKind } from '@clementineloft/kernel'
import type { ConfigDocument, TeamTerms } from '../operators/config-document.js'

/** A caller's team. */
export interface CallerTeam {
  name: string
  terms: TeamTerms
}

/** Index of teams by the digests of their API keys. */
export class ApiKeyIndex {
  private teams = new Map<string, CallerTeam>()

  /** Rebuilds the index from a new configuration. */
  applyConfig (document: ConfigDocument): void {
    this.teams = new Map()
    for (const [name, terms] of Object.entries(document.teams)) {
      for (const digest of terms.keyDigests) this.teams.set(digest, { name, terms })
    }
  }

  /**
   * @param key - the API key that a caller sent, if any
   * @returns the team to which it belongs
   * @throws `unauthorized` if the key is missing or belongs to no team
   */
  authenticate (key: string | undefined): CallerTeam {
    if (key === undefined) throw createError(ErrorKind.unauthorized, 'the API key is missing; send it as "Authorization: Bearer KEY"')
    const team = this.teams.get(computeDigest(key))
    if (team === undefined) throw createError(ErrorKind.unauthorized, 'the API key belongs to no team')
    return team
  }
}
