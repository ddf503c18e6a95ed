/**
 * Finds the team to which an API key belongs.
 */
import type { IncomingMessage } from 'node:http'
import { computeDigest, createError, ErrorKind } from '@clementineloft/kernel'
import type { ConfigDocument, TeamTerms } from './config-document.js'

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
   * @param request - a caller's request
   * @returns the team whose API key it carries
   * @throws `unauthorized`
   */
  authenticate (request: IncomingMessage): CallerTeam {
    const match = /^Bearer (\S+)$/i.exec(request.headers.authorization ?? '')
    if (match === null) throw createError(ErrorKind.unauthorized, 'send the API key as "Authorization: Bearer KEY"')
    const team = this.teams.get(computeDigest(match[1] as string))
    if (team === undefined) throw createError(ErrorKind.unauthorized, 'the API key belongs to no team')
    return team
  }
}
