/**
 * Finds the team to which an API key belongs.
 */
import { computeDigest, createError, ErrorKind } from '@clementineloft/kernel'
import type { ConfigDocument, TeamTerms } from '../operators/config-document.js'

/** A caller's team. */
export interface CallerTeam {
  name: string
  terms: TeamTerms
}

/** Index of API keys by digest. */
export class KeyIndex {
  private teams = new Map<string, CallerTeam>()

  /** Takes a new configuration into use. */
  applyConfig (document: ConfigDocument): void {
    this.teams = new Map()
    for (const [name, terms] of Object.entries(document.teams)) {
      for (const digest of terms.keyDigests) this.teams.set(digest, { name, terms })
    }
  }

  /**
   * @param key - the API key that a caller sent, if any
   * @returns the team to which it belongs
   * @throws `unauthorized`
   */
  authenticate (key: string | undefined): CallerTeam {
    if (key === undefined) throw createError(ErrorKind.unauthorized, 'send the API key as "Authorization: Bearer KEY"')
    const team = this.teams.get(computeDigest(key))
    if (team === undefined) throw createError(ErrorKind.unauthorized, 'the API key belongs to no team')
    return team
  }
}
