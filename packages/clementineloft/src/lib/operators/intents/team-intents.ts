/**
 * Intents that change teams and their terms.
 */
import { createError, ErrorKind } from '@clementineloft/kernel'
import { computeWeight } from '../config-document.js'
import type { ConfigDocument, TeamTerms } from '../config-document.js'
import { Intent, registerIntent } from './intent.js'
import type { IntentResult } from './intent.js'

const classes: ReadonlyArray<TeamTerms['class']> = ['paying', 'late', 'unpaid']

const findTeam = (document: ConfigDocument, name: string): TeamTerms => {
  const team = document.teams[name]
  if (team === undefined) throw createError(ErrorKind.notFound, `team "${name}" does not exist`)
  return team
}

/** Describes a change of terms and its effect on the share of the team in the capacity. */
const describeTermsChange = (document: ConfigDocument, name: string, before: TeamTerms): string[] => {
  const after = findTeam(document, name)
  const computeShare = (terms: TeamTerms): string => {
    const others = Object.entries(document.teams).filter(([other]) => other !== name)
    const total = others.reduce((sum, [, team]) => sum + computeWeight(team), computeWeight(terms))
    return `${(100 * computeWeight(terms) / total).toFixed(2)}%`
  }
  return [
    `team "${name}": class ${before.class} to ${after.class}, weight ${before.weight} to ${after.weight}`,
    `share of capacity when all teams have requests: ${computeShare(before)} to ${computeShare(after)}`,
    'also applies to requests that are already waiting'
  ]
}

/** Moves a team between classes. */
class MoveTeamToClass extends Intent {
  override readonly form = 'move team NAME up|down|to CLASS'
  override readonly pattern = /^move team (\S+) (up|down|to (paying|late|unpaid))$/

  override plan (document: ConfigDocument, [name = '', direction, target]: string[]): IntentResult {
    const team = findTeam(document, name)
    const before = { ...team }
    const step = direction === 'up' ? -1 : 1
    const newClass = target as TeamTerms['class'] | undefined ?? classes[classes.indexOf(team.class) + step]
    if (newClass === undefined) throw createError(ErrorKind.badRequest, `team "${name}" cannot move ${direction} from class "${team.class}"`)
    team.class = newClass
    return { document, summary: describeTermsChange(document, name, before) }
  }
}

/** Changes a team's weight within its class. */
class SetTeamWeight extends Intent {
  override readonly form = 'set weight of team NAME to NUMBER'
  override readonly pattern = /^set weight of team (\S+) to (\d+(?:\.\d+)?)$/

  override plan (document: ConfigDocument, [name = '', weight]: string[]): IntentResult {
    const team = findTeam(document, name)
    const before = { ...team }
    team.weight = Number(weight)
    return { document, summary: describeTermsChange(document, name, before) }
  }
}

/** Limits the number of requests of a team in flight at each entry. */
class SetTeamLimit extends Intent {
  override readonly form = 'limit team NAME to NUMBER in flight'
  override readonly pattern = /^limit team (\S+) to (\d+) in flight$/

  override plan (document: ConfigDocument, [name = '', limit]: string[]): IntentResult {
    const team = findTeam(document, name)
    const before = team.maxInFlight
    team.maxInFlight = Number(limit)
    return { document, summary: [`team "${name}": requests in flight at each entry ${before ?? 'unlimited'} to ${limit}`] }
  }
}

/** Adds a team. */
class AddTeam extends Intent {
  override readonly form = 'add team NAME with key digest SHA256'
  override readonly pattern = /^add team (\S+) with key digest ([0-9a-f]{64})$/

  override plan (document: ConfigDocument, [name = '', digest = '']: string[]): IntentResult {
    if (document.teams[name] !== undefined) throw createError(ErrorKind.conflict, `team "${name}" already exists`)
    document.teams[name] = { class: 'paying', weight: 1, keyDigests: [digest] }
    return { document, summary: [`team "${name}": added, class paying, weight 1`] }
  }
}

registerIntent(new MoveTeamToClass())
registerIntent(new SetTeamWeight())
registerIntent(new SetTeamLimit())
registerIntent(new AddTeam())
